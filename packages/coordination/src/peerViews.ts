import type { MemberRecord, ZoneSummary } from '@cactusstair/protocol';
import { ZoneSummary as ZoneSummaryCodec } from '@cactusstair/protocol';

import type { RecordVersion } from './memberTable.js';
import { compareRecords, hasEnded } from './memberTable.js';

/** Records of one member are sent in full again after this many refreshes to one peer. */
const REFRESHES_PER_FULL_RECORD = 8;
/** Tag and length in front of each embedded message; lengths stay below 16 KiB. */
const FIELD_HEADER_BYTES = 3;
/** Peers whose views are kept; the least recently used is dropped. */
const MAX_VIEWS = 256;

interface RecordView extends RecordVersion {
  /** Sends since the last full record. */
  refreshes: number;
}

/** A record that a peer may lack. */
export interface SharedRecord {
  record: MemberRecord;
  /** Whether the peer is assumed to lack the record if its view has no entry for it. */
  isLikelyUnknown: boolean;
}

/** Records and zone summaries that a peer is assumed to have. */
export interface PeerView {
  records: Map<string, RecordView>;
  zoneSequences: Map<string, number>;
}

/** Limits of one message in bytes. */
export interface MessageLimits {
  /** Largest message. */
  maxMessageBytes: number;
  /** Share of the message for records of which only the heartbeat changed. */
  maxRefreshBytes: number;
  /** Share of the message for zone summaries. */
  maxZoneBytes: number;
}

/** Remaining space of a message that is being built. */
export class MessageBudget {
  constructor(private remainingBytes: number) {}

  tryTake(bytes: number): boolean {
    if (bytes > this.remainingBytes) return false;
    this.remainingBytes -= bytes;
    return true;
  }
}

function measureInteger(value: number): number {
  if (value === 0) return 0;
  return value < 0 ? 11 : 1 + Math.ceil(Math.log2(value + 1) / 7);
}

function measureString(value: string): number {
  return value === '' ? 0 : 2 + Buffer.byteLength(value);
}

/** Computes the encoded size, or slightly more, several times faster than encoding the record. */
function measureRecord(record: MemberRecord): number {
  const strings = [record.id, record.region, record.zone, record.peersAddress];
  const integers = [
    record.incarnation,
    record.heartbeat,
    record.appliedRevision,
    record.confirmedAgeMs,
  ];
  const sum = (sizes: number[]) => sizes.reduce((total, size) => total + size, 0);
  const statusBytes = 2;
  return (
    FIELD_HEADER_BYTES +
    statusBytes +
    sum(strings.map(measureString)) +
    sum(integers.map(measureInteger))
  );
}

/**
 * Tracks which records and summaries each peer has, so that an exchange carries only changes. A
 * message counts as delivered when it is created; `forget` corrects that after a failed call, and
 * later heartbeats repair undetected losses.
 */
export class PeerViews {
  private readonly views = new Map<string, PeerView>();

  /** Returns the view of a peer and marks it as used. */
  get(peerId: string): PeerView {
    const view = this.views.get(peerId) ?? { records: new Map(), zoneSequences: new Map() };
    this.views.delete(peerId);
    this.views.set(peerId, view);
    if (this.views.size > MAX_VIEWS) {
      const [oldest] = this.views.keys();
      if (oldest !== undefined) this.views.delete(oldest);
    }
    return view;
  }

  forget(peerId: string): void {
    this.views.delete(peerId);
  }

  /** Records the contents of a message from the peer, so that they are not sent back to it. */
  recordReceived(peerId: string, records: readonly MemberRecord[], zones: readonly ZoneSummary[]) {
    const view = this.get(peerId);
    for (const record of records) {
      const known = view.records.get(record.id);
      if (!known || compareRecords(record, known) > 0) {
        const { incarnation, heartbeat, status } = record;
        view.records.set(record.id, { incarnation, heartbeat, status, refreshes: 0 });
      }
    }
    for (const { zone, sequence } of zones) {
      if (sequence > (view.zoneSequences.get(zone) ?? 0)) view.zoneSequences.set(zone, sequence);
    }
  }

  /**
   * Selects the records that the peer lacks: first new members and changed statuses in full, then
   * refreshes of the heartbeats that the peer is furthest behind with.
   */
  selectRecords(
    view: PeerView,
    shared: readonly SharedRecord[],
    budget: MessageBudget,
    maxRefreshBytes: number,
  ): MemberRecord[] {
    const refreshBudget = new MessageBudget(maxRefreshBytes);
    const urgent: MemberRecord[] = [];
    const refreshes: MemberRecord[] = [];
    for (const { record, isLikelyUnknown } of shared) {
      const known = view.records.get(record.id);
      if (known && compareRecords(record, known) <= 0) continue;
      const isChange = known?.incarnation !== record.incarnation || known.status !== record.status;
      const isUrgent = known ? isChange : isLikelyUnknown;
      (isUrgent ? urgent : refreshes).push(record);
    }
    const gap = (record: MemberRecord) =>
      record.heartbeat - (view.records.get(record.id)?.heartbeat ?? 0);
    urgent.sort((a, b) => Number(hasEnded(b)) - Number(hasEnded(a)));
    refreshes.sort((a, b) => gap(b) - gap(a));
    const selected: MemberRecord[] = [];
    for (const [index, record] of [...urgent, ...refreshes].entries()) {
      const isUrgent = index < urgent.length;
      const known = view.records.get(record.id);
      const isFull = isUrgent || (known?.refreshes ?? 0) >= REFRESHES_PER_FULL_RECORD;
      const sent = isFull ? record : { ...record, region: '', zone: '', peersAddress: '' };
      const bytes = measureRecord(sent);
      if (!isUrgent && !refreshBudget.tryTake(bytes)) break;
      if (!budget.tryTake(bytes)) break;
      const { incarnation, heartbeat, status } = record;
      const sends = isFull ? 0 : (known?.refreshes ?? 0) + 1;
      view.records.set(record.id, { incarnation, heartbeat, status, refreshes: sends });
      selected.push(sent);
    }
    return selected;
  }

  /** Selects the zone summaries that the peer lacks, those it is furthest behind with first. */
  selectZones(
    view: PeerView,
    zones: readonly ZoneSummary[],
    budget: MessageBudget,
    maxZoneBytes: number,
  ): ZoneSummary[] {
    const zoneBudget = new MessageBudget(maxZoneBytes);
    const gap = ({ zone, sequence }: ZoneSummary) =>
      sequence - (view.zoneSequences.get(zone) ?? -Infinity);
    const selected: ZoneSummary[] = [];
    for (const summary of [...zones].sort((a, b) => gap(b) - gap(a))) {
      if (gap(summary) <= 0) break;
      const bytes = ZoneSummaryCodec.encode(summary).finish().length + FIELD_HEADER_BYTES;
      if (!zoneBudget.tryTake(bytes) || !budget.tryTake(bytes)) break;
      view.zoneSequences.set(summary.zone, summary.sequence);
      selected.push(summary);
    }
    return selected;
  }
}
