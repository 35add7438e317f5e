import type { Clock } from '@cactusstair/utils';

import { readClocks } from '../follow/clockReading.js';
import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { PeerMessage } from './peerMessage.js';

/** The last message of a peer. */
export interface Peer {
  message: PeerMessage;
  receivedAtMs: number;
  receivedAtWallMs: number;
}

/** A peer is considered lost once its last message is older than this. */
export const LOST_AFTER_MS = 3000;
/**
 * Number of instances that aggregate for their zone. With only one, its loss would leave the zone
 * without reports for seconds.
 */
const REPORTERS_PER_ZONE = 2;
/**
 * A peer that did not respond as a reporter is tried again after this time, since its record may be
 * stale.
 */
const REPORTER_RETRY_MS = 10_000;

interface PeerEntry {
  record: PeerRecord;
  /** When it was chosen as a reporter; undefined while it is not one. */
  chosenAtMs: number | undefined;
  /** Until then it is not chosen as a reporter, because it did not respond as one. */
  excludedUntilMs: number;
}

function formatAddress({ host, port }: SocketAddress): string {
  return `${host}:${port}`;
}

/** Orders larger machines first, because reporters handle the most messages. */
function compareRecords(
  a: Pick<PeerRecord, 'name' | 'capacity'>,
  b: Pick<PeerRecord, 'name' | 'capacity'>,
): number {
  return b.capacity - a.capacity || (a.name < b.name ? -1 : 1);
}

/**
 * Tracks the other instances: their addresses, their last messages, and which ones are reporters.
 */
export class PeerTable {
  /** Addresses whose instance has not been identified yet. */
  private readonly unnamed = new Map<string, SocketAddress>();

  private readonly entries = new Map<string, PeerEntry>();

  private readonly lastMessages = new Map<string, Peer>();

  /** When a reporter last acknowledged a message of the instance, on the monotonic clock. */
  private readonly acknowledgedAtMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly self: PeerRecord,
  ) {}

  /** Number of known addresses, without the one of this instance. */
  get addressCount(): number {
    return this.unnamed.size + this.entries.size;
  }

  /** Adds an address at which a peer may be listening. */
  addAddress(address: SocketAddress): void {
    const key = formatAddress(address);
    if (key === formatAddress(this.self)) return;
    for (const { record } of this.entries.values()) if (formatAddress(record) === key) return;
    this.unnamed.set(key, address);
  }

  /** Adds or replaces the record of a peer. */
  addRecord(record: PeerRecord): void {
    if (record.name === this.self.name) return;
    this.unnamed.delete(formatAddress(record));
    const known = this.entries.get(record.name);
    if (known) known.record = record;
    else {
      this.entries.set(record.name, { record, chosenAtMs: undefined, excludedUntilMs: 0 });
    }
  }

  /** Stores a message. Returns false if a newer one from the same sender is already stored. */
  recordMessage(message: PeerMessage, sender: SocketAddress): boolean {
    const known = this.lastMessages.get(message.name);
    if (known && !isNewer(message, known.message)) return false;
    const { name, zone, capacity } = message;
    this.addRecord({ ...sender, name, zone, capacity });
    const { monotonicMs, wallMs } = readClocks(this.clock);
    this.lastMessages.set(name, { message, receivedAtMs: monotonicMs, receivedAtWallMs: wallMs });
    const entry = this.entries.get(name);
    if (entry) entry.excludedUntilMs = 0;
    if (message.report) {
      for (const other of Object.keys(message.echoes))
        this.acknowledgedAtMs.set(other, monotonicMs);
    }
    return true;
  }

  find(name: string): Peer | undefined {
    return this.lastMessages.get(name);
  }

  findAddress(name: string): SocketAddress | undefined {
    return this.entries.get(name)?.record;
  }

  /** Returns the peers whose last message arrived less than `maxAgeMs` ago. */
  listRecentPeers(maxAgeMs = Infinity): Peer[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.lastMessages.values()].filter(
      ({ receivedAtMs }) => nowMs - receivedAtMs < maxAgeMs,
    );
  }

  /**
   * Returns the names of the live peers in order of rank: those that sent a message recently, and
   * those that a reporter has recently received one from.
   */
  listLivePeers(): string[] {
    const nowMs = this.clock.monotonicMs();
    const living = new Map<string, { name: string; capacity: number }>();
    for (const [name, atMs] of this.acknowledgedAtMs) {
      if (nowMs - atMs >= LOST_AFTER_MS || name === this.self.name) continue;
      const capacity = this.entries.get(name)?.record.capacity ?? 0;
      living.set(name, { name, capacity });
    }
    for (const { message } of this.listRecentPeers(LOST_AFTER_MS)) {
      if (message.isLeaving) living.delete(message.name);
      else living.set(message.name, message);
    }
    return [...living.values()].sort(compareRecords).map(({ name }) => name);
  }

  /**
   * Returns the names of the peers of a zone that are running, as far as they or a reporter say,
   * including those that are leaving.
   */
  listPresentNames(zone: string): string[] {
    const nowMs = this.clock.monotonicMs();
    const acknowledged = [...this.acknowledgedAtMs]
      .filter(([, atMs]) => nowMs - atMs < LOST_AFTER_MS)
      .map(([name]) => name)
      .filter((name) => this.entries.get(name)?.record.zone === zone);
    const recent = this.listRecentPeers(LOST_AFTER_MS)
      .filter(({ message }) => message.zone === zone)
      .map(({ message }) => message.name);
    return [...new Set([...acknowledged, ...recent])].sort();
  }

  /** Returns the names of all other instances heard of so far, also of those that are silent. */
  listKnownNames(): string[] {
    const names = new Set([...this.entries.keys(), ...this.acknowledgedAtMs.keys()]);
    names.delete(this.self.name);
    return [...names];
  }

  /** Returns the rank of this instance among the peers named in `living`, starting at 0. */
  getRank(living: readonly string[]): number {
    return living.filter((name) => {
      const capacity = this.entries.get(name)?.record.capacity ?? 0;
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
    const records = [...this.entries.values()].map(({ record }) => record);
    return zone === undefined ? records : records.filter((record) => record.zone === zone);
  }

  listZones(): string[] {
    return [...new Set([this.self.zone, ...this.listRecords().map(({ zone }) => zone)])];
  }

  /** Chooses the reporters of a zone; this instance may be one of them. */
  chooseReporters(zone: string): PeerRecord[] {
    const nowMs = this.clock.monotonicMs();
    const own = zone === this.self.zone ? [this.self] : [];
    const ordered = [...this.listRecords(zone), ...own].sort(compareRecords);
    const chosen: PeerRecord[] = [];
    for (const record of ordered) {
      if (chosen.length >= REPORTERS_PER_ZONE) break;
      if (record === this.self || this.checkReporter(record.name, nowMs)) chosen.push(record);
    }
    return chosen;
  }

  /**
   * Whether a peer can be a reporter: it is responding, or was chosen only a moment ago. A peer
   * that does not respond is excluded for a while.
   */
  private checkReporter(name: string, nowMs: number): boolean {
    const entry = this.entries.get(name)!;
    if (nowMs < entry.excludedUntilMs || this.lastMessages.get(name)?.message.isLeaving)
      return false;
    entry.chosenAtMs ??= nowMs;
    const sinceMs = Math.max(entry.chosenAtMs, this.lastMessages.get(name)?.receivedAtMs ?? 0);
    if (nowMs - sinceMs < LOST_AFTER_MS) return true;
    entry.chosenAtMs = undefined;
    entry.excludedUntilMs = nowMs + REPORTER_RETRY_MS;
    return false;
  }
}

function isNewer(message: PeerMessage, known: PeerMessage): boolean {
  if (message.incarnation !== known.incarnation) return message.incarnation > known.incarnation;
  return message.sequence > known.sequence;
}
