import type { Clock } from '@cactusstair/utils';

import { readClocks } from '../follow/clockReading.js';
import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { PeerMessage } from './peerMessage.js';

/** The last message of a peer. */
export interface Peer {
  message: PeerMessage;
  heardAtMs: number;
  heardAtWallMs: number;
}

/** After this silence a peer counts as gone. */
export const LOST_AFTER_MS = 3000;
/** Instances of a zone that sum up for it; with one, its loss would blind the zone for seconds. */
const REPORTERS_PER_ZONE = 2;
/** A reporter that was silent is asked again after this time, since its record may be stale. */
const RETRY_SILENT_MS = 10_000;

interface Candidate {
  record: PeerRecord;
  /** When it was first taken for a reporter; undefined while it is not. */
  addressedAtMs: number | undefined;
  silentUntilMs: number;
}

function formatAddress({ host, port }: SocketAddress): string {
  return `${host}:${port}`;
}

/** Larger machines first: a reporter has the most messages to pass. */
function compareRecords(
  a: Pick<PeerRecord, 'name' | 'capacity'>,
  b: Pick<PeerRecord, 'name' | 'capacity'>,
): number {
  return b.capacity - a.capacity || (a.name < b.name ? -1 : 1);
}

/** The other instances: where they are, which were heard, and which ones sum up for their zone. */
export class PeerTable {
  /** Addresses whose instance is not known yet. */
  private readonly unnamed = new Map<string, SocketAddress>();

  private readonly candidates = new Map<string, Candidate>();

  private readonly heard = new Map<string, Peer>();

  /** When a reporter last named an instance as heard, on the monotonic clock. */
  private readonly vouchedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly self: PeerRecord,
  ) {}

  /** Addresses known besides the own one. */
  get addressCount(): number {
    return this.unnamed.size + this.candidates.size;
  }

  /** Adds an address at which some peer may be. */
  addAddress(address: SocketAddress): void {
    const key = formatAddress(address);
    if (key === formatAddress(this.self)) return;
    for (const { record } of this.candidates.values()) if (formatAddress(record) === key) return;
    this.unnamed.set(key, address);
  }

  /** Adds or replaces the record of a peer. */
  addRecord(record: PeerRecord): void {
    if (record.name === this.self.name) return;
    this.unnamed.delete(formatAddress(record));
    const known = this.candidates.get(record.name);
    if (known) known.record = record;
    else {
      this.candidates.set(record.name, { record, addressedAtMs: undefined, silentUntilMs: 0 });
    }
  }

  /** Notes a message; false when a newer one of its sender is known. */
  record(message: PeerMessage, sender: SocketAddress): boolean {
    const known = this.heard.get(message.name);
    if (known && !isNewer(message, known.message)) return false;
    const { name, zone, capacity } = message;
    this.addRecord({ ...sender, name, zone, capacity });
    const { monotonicMs, wallMs } = readClocks(this.clock);
    this.heard.set(name, { message, heardAtMs: monotonicMs, heardAtWallMs: wallMs });
    const candidate = this.candidates.get(name);
    if (candidate) candidate.silentUntilMs = 0;
    if (message.report) {
      for (const other of Object.keys(message.echoes)) this.vouchedAtMs.set(other, monotonicMs);
    }
    return true;
  }

  find(name: string): Peer | undefined {
    return this.heard.get(name);
  }

  findAddress(name: string): SocketAddress | undefined {
    return this.candidates.get(name)?.record;
  }

  /** Returns the peers that were heard directly within `maxAgeMs`. */
  listHeard(maxAgeMs = Infinity): Peer[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.heard.values()].filter(({ heardAtMs }) => nowMs - heardAtMs < maxAgeMs);
  }

  /** Returns the living peers in order of rank: those heard, and those that a reporter hears. */
  listLiving(): string[] {
    const nowMs = this.clock.monotonicMs();
    const living = new Map<string, { name: string; capacity: number }>();
    for (const [name, atMs] of this.vouchedAtMs) {
      if (nowMs - atMs >= LOST_AFTER_MS || name === this.self.name) continue;
      const capacity = this.candidates.get(name)?.record.capacity ?? 0;
      living.set(name, { name, capacity });
    }
    for (const { message } of this.listHeard(LOST_AFTER_MS)) {
      if (message.isLeaving) living.delete(message.name);
      else living.set(message.name, message);
    }
    return [...living.values()].sort(compareRecords).map(({ name }) => name);
  }

  /** Position of this instance among `living`, the names of the living peers. */
  getRank(living: readonly string[]): number {
    return living.filter((name) => {
      const capacity = this.candidates.get(name)?.record.capacity ?? 0;
      return compareRecords({ name, capacity }, this.self) < 0;
    }).length;
  }

  listAddresses(): SocketAddress[] {
    return [...this.unnamed.values(), ...this.listRecords()];
  }

  listUnnamed(): SocketAddress[] {
    return [...this.unnamed.values()];
  }

  listRecords(zone?: string): PeerRecord[] {
    const records = [...this.candidates.values()].map(({ record }) => record);
    return zone === undefined ? records : records.filter((record) => record.zone === zone);
  }

  listZones(): string[] {
    return [...new Set([this.self.zone, ...this.listRecords().map(({ zone }) => zone)])];
  }

  /** Chooses the instances that sum up for a zone; this instance may be one of them. */
  chooseReporters(zone: string): PeerRecord[] {
    const nowMs = this.clock.monotonicMs();
    const own = zone === this.self.zone ? [this.self] : [];
    const ordered = [...this.listRecords(zone), ...own].sort(compareRecords);
    const chosen: PeerRecord[] = [];
    for (const record of ordered) {
      if (chosen.length >= REPORTERS_PER_ZONE) break;
      if (record === this.self || this.checkCandidate(record.name, nowMs)) chosen.push(record);
    }
    return chosen;
  }

  /** Whether a candidate answers, or was not asked for long. */
  private checkCandidate(name: string, nowMs: number): boolean {
    const candidate = this.candidates.get(name)!;
    if (nowMs < candidate.silentUntilMs || this.heard.get(name)?.message.isLeaving) return false;
    candidate.addressedAtMs ??= nowMs;
    const sinceMs = Math.max(candidate.addressedAtMs, this.heard.get(name)?.heardAtMs ?? 0);
    if (nowMs - sinceMs < LOST_AFTER_MS) return true;
    candidate.addressedAtMs = undefined;
    candidate.silentUntilMs = nowMs + RETRY_SILENT_MS;
    return false;
  }
}

function isNewer(message: PeerMessage, known: PeerMessage): boolean {
  if (message.incarnation !== known.incarnation) return message.incarnation > known.incarnation;
  return message.sequence > known.sequence;
}
