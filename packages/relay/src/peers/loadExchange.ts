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
  send: (receivers: readonly SocketAddress[], notice: LoadNotice) => void;
}

interface InstanceLoads {
  loads: UpstreamLoads;
  receivedAtMs: number;
}

/** Shortest time between two notices; changes in between are sent together. */
const MIN_NOTICE_GAP_MS = 5;
/** Notices that an instance receives in a second at most; busy zones send their changes together. */
const MAX_RECEIVED_PER_S = 500;
const MS_PER_SECOND = 1000;
/** A load that does not change is sent again after this time. */
const REFRESH_INTERVAL_MS = 500;

/**
 * Tells the instances of the zone of each change of this instance's load, and keeps theirs. The
 * choice of an upstream depends on what the neighbours have sent there in the last moments: prompts
 * are read in fractions of a second, so a sum that is older than that says little.
 *
 * Serves many instances that each send a few requests a second to the same engines. What an
 * instance sends grows with its own requests and the instances of its zone; what it receives is
 * bounded, and an instance with few requests reports each change without delay.
 */
export class LoadExchange {
  private readonly peers = new Map<string, InstanceLoads>();

  private lastSent = '{}';

  private sentAtMs = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LoadExchangeOptions) {}

  /** Reports a change of this instance's load soon. */
  notifyChange(): void {
    if (this.timer) return;
    const ageMs = this.options.clock.monotonicMs() - this.sentAtMs;
    this.timer = setTimeout(() => this.sendNotice(), Math.max(0, this.noticeGapMs - ageMs));
  }

  /** Time between two notices of this instance, by the number of instances that send them. */
  private get noticeGapMs(): number {
    const senders = this.options.listReceivers().length + 1;
    return Math.max(MIN_NOTICE_GAP_MS, (senders * MS_PER_SECOND) / MAX_RECEIVED_PER_S);
  }

  /** Repeats the last notice when it is due, and applies the loads of all instances. */
  refresh(maxAgeMs: number): void {
    const loads = JSON.stringify(this.createOwnLoads());
    const ageMs = this.options.clock.monotonicMs() - this.sentAtMs;
    const isDue = loads !== this.lastSent || (loads !== '{}' && ageMs >= REFRESH_INTERVAL_MS);
    if (isDue) this.notifyChange();
    this.applyLoads(maxAgeMs);
  }

  /** Stores the load of an instance that reports to this one. */
  record(name: string, loads: UpstreamLoads, maxAgeMs: number): void {
    const known = this.peers.get(name)?.loads ?? {};
    this.peers.set(name, { loads, receivedAtMs: this.options.clock.monotonicMs() });
    const remote = this.options.sumRemoteLoads(maxAgeMs);
    for (const id of new Set([...Object.keys(known), ...Object.keys(loads)])) {
      this.applyLoad(id, remote, maxAgeMs);
    }
  }

  /** Sums the loads of all other instances, leaving out what is older than `maxAgeMs`. */
  sumPeerLoads(maxAgeMs: number): UpstreamLoads {
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
    this.lastSent = JSON.stringify(load);
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
