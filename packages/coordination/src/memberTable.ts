import type { MemberRecord } from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';

/** Of two records with the same incarnation and heartbeat, the one with the higher rank wins. */
const statusRanks: Partial<Record<MemberStatus, number>> = {
  [MemberStatus.ALIVE]: 0,
  [MemberStatus.SUSPECT]: 1,
  [MemberStatus.LEAVING]: 2,
  [MemberStatus.LEFT]: 3,
  [MemberStatus.LOST]: 4,
};

/** Fields that determine which of two records of a member wins. */
export type RecordVersion = Pick<MemberRecord, 'incarnation' | 'heartbeat' | 'status'>;

/** Compares two records of one member; positive when `a` wins. */
export function compareRecords(a: RecordVersion, b: RecordVersion): number {
  return (
    a.incarnation - b.incarnation ||
    a.heartbeat - b.heartbeat ||
    (statusRanks[a.status] ?? -1) - (statusRanks[b.status] ?? -1)
  );
}

/** Whether this version knows the status; records with other statuses are ignored. */
export function isKnownStatus(status: MemberStatus): boolean {
  return statusRanks[status] !== undefined;
}

/** Whether the record shows the member as lost or left. */
export function hasEnded(record: MemberRecord): boolean {
  return record.status === MemberStatus.LOST || record.status === MemberStatus.LEFT;
}

/** A record with the local times from which its timeouts and its age are computed. */
export interface TableEntry {
  record: MemberRecord;
  /** Local monotonic time at which the incarnation or the heartbeat last rose. */
  advancedAtMs: number;
  /** Local monotonic time at which the incarnation or the status last changed. */
  changedAtMs: number;
  /** Local monotonic time at which the record arrived. */
  receivedAtMs: number;
}

/** Time limits of `MemberTable`, in milliseconds. */
export interface MemberTimeouts {
  /** Time without a new heartbeat after which a member is suspect. */
  suspectAfterMs: number;
  /** Time without a new heartbeat after which a member is lost. */
  lostAfterMs: number;
  /** Time for which the record of a lost or left member is kept. */
  forgetAfterMs: number;
}

/** Options of `MemberTable`. */
export interface MemberTableOptions extends MemberTimeouts {
  clock: Clock;
  /** Called when a run of a member ended without leaving: the member was lost or it restarted. */
  onLost: (record: MemberRecord) => void;
}

/** Records of other members, merged by the order of `compareRecords`. */
export class MemberTable {
  private readonly entries = new Map<string, TableEntry>();

  constructor(private readonly options: MemberTableOptions) {}

  get(id: string): TableEntry | undefined {
    return this.entries.get(id);
  }

  list(): TableEntry[] {
    return [...this.entries.values()];
  }

  /**
   * Merges a received record. A record without an address is a refresh that leaves out the fields
   * that do not change; it is ignored when this incarnation is not known.
   */
  merge(received: MemberRecord): void {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.entries.get(received.id);
    const isRefresh = received.peersAddress === '';
    if (isRefresh && known?.record.incarnation !== received.incarnation) return;
    if (known && compareRecords(received, known.record) <= 0) return;
    const { region, zone, peersAddress } = isRefresh && known ? known.record : received;
    const record = { ...received, region, zone, peersAddress };
    const isAdvance =
      !known ||
      received.incarnation > known.record.incarnation ||
      received.heartbeat > known.record.heartbeat;
    const advancedAtMs = isAdvance ? nowMs : known.advancedAtMs;
    const isChange =
      known?.record.incarnation !== record.incarnation || known.record.status !== record.status;
    const changedAtMs = isChange ? nowMs : known.changedAtMs;
    const entry = { record, advancedAtMs, changedAtMs, receivedAtMs: nowMs };
    this.entries.set(record.id, entry);
    if (known && known.record.incarnation < record.incarnation && !hasEnded(known.record)) {
      this.options.onLost(known.record);
    }
    const wasLost =
      known?.record.status === MemberStatus.LOST && known.record.incarnation === record.incarnation;
    if (record.status === MemberStatus.LOST && !wasLost) this.options.onLost(record);
  }

  /**
   * Marks members without a recent heartbeat as suspect or lost, and removes the records of lost
   * and left members after `forgetAfterMs`.
   */
  checkTimeouts(): void {
    const { clock, suspectAfterMs, lostAfterMs, forgetAfterMs } = this.options;
    const nowMs = clock.monotonicMs();
    for (const entry of this.list()) {
      const heartbeatAgeMs = nowMs - entry.advancedAtMs;
      const { status } = entry.record;
      if (hasEnded(entry.record)) {
        if (nowMs - entry.changedAtMs > forgetAfterMs) this.entries.delete(entry.record.id);
      } else if (heartbeatAgeMs > lostAfterMs) {
        this.setStatus(entry, MemberStatus.LOST);
        this.options.onLost(entry.record);
      } else if (heartbeatAgeMs > suspectAfterMs && status === MemberStatus.ALIVE) {
        this.setStatus(entry, MemberStatus.SUSPECT);
      }
    }
  }

  /** Excludes a pause of this instance from the time since the last heartbeats of the members. */
  excludePause(pauseMs: number): void {
    for (const entry of this.list()) {
      entry.advancedAtMs += pauseMs;
      entry.changedAtMs += pauseMs;
    }
  }

  /** Returns a record to send; the age of its confirmation includes the time since it arrived. */
  exportRecord(entry: TableEntry): MemberRecord {
    const { record, receivedAtMs } = entry;
    if (record.confirmedAgeMs < 0) return { ...record };
    const heldMs = this.options.clock.monotonicMs() - receivedAtMs;
    return { ...record, confirmedAgeMs: record.confirmedAgeMs + Math.round(heldMs) };
  }

  private setStatus(entry: TableEntry, status: MemberStatus): void {
    entry.record = { ...entry.record, status };
    entry.changedAtMs = this.options.clock.monotonicMs();
  }
}
