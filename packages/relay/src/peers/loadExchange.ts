import type { Clock } from '@cactusstair/utils';
import { createDictionary } from '@cactusstair/utils';

import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { UpstreamLoads } from './fleetReport.js';
import { addLoads } from './fleetReport.js';
import type { LoadNotice, UpstreamLoad } from './peerMessage.js';

/** Options of `LoadExchange`. */
export interface LoadExchangeOptions {
  clock: Clock;
  self: PeerRecord;
  directory: UpstreamDirectory;
  /** Returns the instances to which this one sends notices. */
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

const NO_LOAD: UpstreamLoad = [0, 0, 0];
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

  private lastSent: UpstreamLoads = createDictionary();

  private sentAtMs = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LoadExchangeOptions) {}

  /** Whether the zone is small enough for notices. */
  get isEnabled(): boolean {
    return this.noticeGapMs <= MAX_NOTICE_GAP_MS;
  }

  /** Reports the load of this instance soon if its backlog at `upstream` has grown much. */
  notifyGrowth(upstream: Upstream): void {
    if (this.timer || !this.isEnabled) return;
    const [, backlogMs] = createOwnLoad(upstream);
    const [, sentMs] = this.lastSent[upstream.id] ?? NO_LOAD;
    if (backlogMs - sentMs >= SIGNIFICANT_BACKLOG_MS) this.scheduleNotice();
  }

  /** Repeats the last notice when it is due, and applies the loads of all instances. */
  refresh(maxAgeMs: number): void {
    if (this.isEnabled && !this.timer && this.isRefreshDue()) this.scheduleNotice();
    this.applyLoads(this.options.directory.listAll(), maxAgeMs);
  }

  /** Stores the load of an instance that reports to this one. */
  record(name: string, loads: UpstreamLoads, maxAgeMs: number): void {
    if (!this.isEnabled) return;
    const known = this.peers.get(name)?.loads ?? {};
    this.peers.set(name, { loads, receivedAtMs: this.options.clock.monotonicMs() });
    const touched = Object.keys({ ...known, ...loads }).flatMap(
      (id) => this.options.directory.find(id) ?? [],
    );
    this.applyLoads(touched, maxAgeMs);
  }

  /** Sums the loads of all other instances, leaving out what is older than `maxAgeMs`. */
  sumPeerLoads(maxAgeMs: number): UpstreamLoads {
    if (!this.isEnabled) return this.options.sumReportedLoads(maxAgeMs);
    const sum: UpstreamLoads = createDictionary();
    for (const loads of this.listRecentLoads(maxAgeMs)) addLoads(sum, loads);
    addLoads(sum, this.options.sumRemoteLoads(maxAgeMs));
    return sum;
  }

  createOwnLoads(): UpstreamLoads {
    const loads: UpstreamLoads = createDictionary();
    for (const upstream of this.options.directory.listAll()) {
      if (upstream.calls.size > 0) loads[upstream.id] = createOwnLoad(upstream);
    }
    return loads;
  }

  close(): void {
    clearTimeout(this.timer);
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

  private isRefreshDue(): boolean {
    if (this.options.clock.monotonicMs() - this.sentAtMs < REFRESH_INTERVAL_MS) return false;
    const loads = this.createOwnLoads();
    return Object.keys({ ...loads, ...this.lastSent }).length > 0;
  }

  private sendNotice(): void {
    const { clock, listReceivers, self, send } = this.options;
    this.timer = undefined;
    this.sentAtMs = clock.monotonicMs();
    this.lastSent = this.createOwnLoads();
    send(listReceivers(), { name: self.name, load: this.lastSent });
  }

  private listRecentLoads(maxAgeMs: number): UpstreamLoads[] {
    const nowMs = this.options.clock.monotonicMs();
    return [...this.peers.values()]
      .filter(({ receivedAtMs }) => nowMs - receivedAtMs < maxAgeMs)
      .map(({ loads }) => loads);
  }

  private applyLoads(upstreams: readonly Upstream[], maxAgeMs: number): void {
    const sum = this.sumPeerLoads(maxAgeMs);
    for (const upstream of upstreams) {
      const [running, backlogMs, heldTokens] = sum[upstream.id] ?? NO_LOAD;
      upstream.peerLoad = { running, backlogMs, heldTokens };
    }
  }
}

/** Sums the requests of this instance at an upstream. */
function createOwnLoad({ calls }: Upstream): UpstreamLoad {
  let backlogMs = 0;
  let heldTokens = 0;
  for (const call of calls) {
    backlogMs += call.backlogMs;
    heldTokens += call.heldTokens;
  }
  return [calls.size, Math.round(backlogMs), Math.round(heldTokens)];
}
