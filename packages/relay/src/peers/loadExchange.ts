import type { Clock } from '@cactusstair/utils';

import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { UpstreamLoads } from './fleetReport.js';
import { addLoads } from './fleetReport.js';
import type { LoadNotice } from './peerMessage.js';

/** Options of `LoadExchange`. */
export interface LoadExchangeOptions {
  clock: Clock;
  self: PeerRecord;
  directory: UpstreamDirectory;
  /** Returns the instances to which this one reports each change of its load. */
  listReceivers: () => readonly SocketAddress[];
  /** Returns the loads of instances that do not report to this one. */
  sumRemoteLoads: (maxAgeMs: number) => UpstreamLoads;
  /** Returns the loads of all other instances, as far as their periodic messages say. */
  sumReportedLoads: (maxAgeMs: number) => UpstreamLoads;
  send: (receivers: readonly SocketAddress[], notice: LoadNotice) => void;
}

interface InstanceLoads {
  loads: UpstreamLoads;
  receivedAtMs: number;
}

/** Shortest time between two notices; changes in between are sent together. */
const MIN_NOTICE_GAP_MS = 5;
/** Datagrams that the notices of a zone may take in a second, counted at their receivers. */
const MAX_ZONE_DATAGRAMS_PER_S = 1000;
/** With a longer time between its notices, a zone learns the loads from its reporters instead. */
const MAX_NOTICE_GAP_MS = 500;
const MS_PER_SECOND = 1000;
/** Growth of the backlog at an upstream that is reported at once; less waits for the next notice. */
const SIGNIFICANT_BACKLOG_MS = 100;
/** A load that changes little, or not at all, is sent again after this time. */
const REFRESH_INTERVAL_MS = 1000;

/**
 * Tells the instances of the zone at once when this instance's load grows, and keeps theirs. The
 * choice of an upstream depends on what the neighbours have sent there in the last moments: prompts
 * are read in fractions of a second, so a sum that is older than that says little.
 *
 * Serves some twenty instances that each send a few requests a second to the same engines. The
 * notices of a zone are bounded together; a zone that is too large for them relies on the reports.
 */
export class LoadExchange {
  private readonly peers = new Map<string, InstanceLoads>();

  private lastSent: UpstreamLoads = {};

  private sentAtMs = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LoadExchangeOptions) {}

  /** Whether the zone is small enough for notices. */
  get isEnabled(): boolean {
    return this.noticeGapMs <= MAX_NOTICE_GAP_MS;
  }

  /** Reports the load of this instance soon if much has been added since the last notice. */
  notifyChange(): void {
    if (this.timer || !this.isEnabled || !this.hasGrown()) return;
    this.scheduleNotice();
  }

  private scheduleNotice(): void {
    const ageMs = this.options.clock.monotonicMs() - this.sentAtMs;
    this.timer = setTimeout(() => this.sendNotice(), Math.max(0, this.noticeGapMs - ageMs));
  }

  /** Time between two notices of this instance; each instance of the zone sends to all others. */
  private get noticeGapMs(): number {
    const receivers = this.options.listReceivers().length;
    const datagrams = (receivers + 1) * receivers;
    return Math.max(MIN_NOTICE_GAP_MS, (datagrams * MS_PER_SECOND) / MAX_ZONE_DATAGRAMS_PER_S);
  }

  /** Whether the backlog of this instance at any upstream has grown much since the last notice. */
  private hasGrown(): boolean {
    return Object.entries(this.createOwnLoads()).some(
      ([id, [, backlogMs]]) => backlogMs - (this.lastSent[id]?.[1] ?? 0) >= SIGNIFICANT_BACKLOG_MS,
    );
  }

  /** Repeats the last notice when it is due, and applies the loads of all instances. */
  refresh(maxAgeMs: number): void {
    if (this.isEnabled && !this.timer && this.isRefreshDue()) this.scheduleNotice();
    this.applyLoads(maxAgeMs);
  }

  private isRefreshDue(): boolean {
    if (this.options.clock.monotonicMs() - this.sentAtMs < REFRESH_INTERVAL_MS) return false;
    const loads = this.createOwnLoads();
    return Object.keys({ ...loads, ...this.lastSent }).length > 0;
  }

  /** Stores the load of an instance that reports to this one. */
  record(name: string, loads: UpstreamLoads, maxAgeMs: number): void {
    if (!this.isEnabled) return;
    const known = this.peers.get(name)?.loads ?? {};
    this.peers.set(name, { loads, receivedAtMs: this.options.clock.monotonicMs() });
    const remote = this.options.sumRemoteLoads(maxAgeMs);
    for (const id of new Set([...Object.keys(known), ...Object.keys(loads)])) {
      this.applyLoad(id, remote, maxAgeMs);
    }
  }

  /** Sums the loads of all other instances, leaving out what is older than `maxAgeMs`. */
  sumPeerLoads(maxAgeMs: number): UpstreamLoads {
    if (!this.isEnabled) return this.options.sumReportedLoads(maxAgeMs);
    const sum: UpstreamLoads = {};
    for (const loads of this.listRecentLoads(maxAgeMs)) addLoads(sum, loads);
    addLoads(sum, this.options.sumRemoteLoads(maxAgeMs));
    return sum;
  }

  createOwnLoads(): UpstreamLoads {
    const loads: UpstreamLoads = {};
    for (const upstream of this.options.directory.listAll()) {
      if (upstream.calls.size === 0) continue;
      let backlogMs = 0;
      let heldTokens = 0;
      for (const call of upstream.calls) {
        backlogMs += call.backlogMs;
        heldTokens += call.heldTokens;
      }
      loads[upstream.id] = [upstream.calls.size, Math.round(backlogMs), Math.round(heldTokens)];
    }
    return loads;
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private sendNotice(): void {
    const { clock, listReceivers, self, send } = this.options;
    this.timer = undefined;
    this.sentAtMs = clock.monotonicMs();
    const load = this.createOwnLoads();
    this.lastSent = load;
    send(listReceivers(), { name: self.name, load });
  }

  private listRecentLoads(maxAgeMs: number): UpstreamLoads[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.peers.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs < maxAgeMs)
      .map(({ loads }) => loads);
  }

  private applyLoads(maxAgeMs: number): void {
    const sum = this.sumPeerLoads(maxAgeMs);
    for (const upstream of this.options.directory.listAll()) {
      const [running, backlogMs, heldTokens] = sum[upstream.id] ?? [0, 0, 0];
      upstream.peerLoad = { running, backlogMs, heldTokens };
    }
  }

  private applyLoad(id: string, remote: UpstreamLoads, maxAgeMs: number): void {
    const upstream = this.options.directory.find(id);
    if (!upstream) return;
    let [running, backlogMs, heldTokens] = remote[id] ?? [0, 0, 0];
    for (const loads of this.listRecentLoads(maxAgeMs)) {
      const load = loads[id];
      if (!load) continue;
      running += load[0];
      backlogMs += load[1];
      heldTokens += load[2];
    }
    upstream.peerLoad = { running, backlogMs, heldTokens };
  }
}
