import type { Clock } from '@cactusstair/utils';
import { hashText } from '@cactusstair/utils';

import type { SourceChange, SourceItem } from '../follow/changeSource.js';
import { Upstream } from './upstream.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** A change of the list; an upstream that has restarted has a new run under the same id. */
export type UpstreamEvent =
  'seen' | 'draining' | 'restarted' | 'gone' | 'missing' | 'without_slots';

/** Options of `UpstreamDirectory`. */
export interface UpstreamDirectoryOptions {
  clock: Clock;
  /** Whether entries may be missing because of a current or recent store outage. */
  isStoreDisturbed: () => boolean;
  /** Time since the store became available again; Infinity when it had no outage. */
  getStoreRestoredAgeMs: () => number;
  /** Whether an upstream says in its answers that it leaves, whatever the list says. */
  isLeaving?: (upstream: UpstreamRecord) => boolean;
  /** Whether the upstreams of a zone may get no new requests. */
  isZoneEvacuated?: (zone: string) => boolean;
  onEvent?: (event: UpstreamEvent, upstream: UpstreamRecord) => void;
}

/** Entries that expired in a store outage are registered again within about this time after it. */
const RESTORE_GRACE_MS = 2000;
/**
 * Time after which a restored store has dropped the entries of upstreams that no longer run: they
 * write about every 1,200 ms, entries lapse after three intervals, and the deletion is read up to
 * 800 ms later. The rest is a margin.
 */
const ENTRY_LAPSE_MS = 5000;
/** Longer than the age of a copy and an outage together. */
const GONE_MEMORY_MS = 120_000;
const MAX_GONE_RUNS = 2000;

/** A run of an upstream that has left the list. */
interface GoneRun {
  startedAtMs: number;
  goneAtMs: number;
}

/** Upstreams that the platform lists, by id and service. */
export class UpstreamDirectory {
  private readonly byId = new Map<string, Upstream>();

  private readonly byService = new Map<string, Set<Upstream>>();

  /** Runs that have left the list lately, by id, oldest first. */
  private readonly goneRuns = new Map<string, GoneRun>();

  /** Whether the next list is the first one of a restored store. */
  private isRestoring = false;

  /** When the first list of a restored store was read, on the monotonic clock. */
  private restoredAtMs = -Infinity;

  private state: string | undefined;

  constructor(private readonly options: UpstreamDirectoryOptions) {}

  /**
   * Prepares for the list of a store that was restored from an older copy: runs that were draining or
   * gone are held even if it lists them as ready.
   */
  startRestore(): void {
    this.isRestoring = true;
  }

  /** Replaces the whole list. */
  applySnapshot(items: readonly SourceItem<UpstreamRecord>[]): void {
    if (this.isRestoring) this.restoredAtMs = this.options.clock.monotonicMs();
    this.isRestoring = false;
    const listed = new Set<string>();
    for (const item of items) {
      if (!item.value) continue;
      listed.add(item.name);
      this.put(item.value, item.revision);
    }
    for (const upstream of [...this.byId.values()]) {
      if (!listed.has(upstream.id)) this.handleMissing(upstream);
    }
  }

  applyChange(change: SourceChange<UpstreamRecord>): void {
    const known = this.byId.get(change.name);
    if (!change.isDeleted && change.value) this.put(change.value, change.revision);
    else if (known) this.handleMissing(known);
  }

  /** Returns the upstreams of a service that accept new requests. */
  listUsable(service: string): Upstream[] {
    const found: Upstream[] = [];
    const nowMs = this.options.clock.monotonicMs();
    for (const upstream of this.byService.get(service) ?? []) {
      const { record } = upstream;
      if (record.isDraining || record.slots < 1 || this.options.isLeaving?.(record)) continue;
      if (upstream.heldUntilMs > nowMs) continue;
      if (upstream.missingSinceMs !== undefined && this.isRestoreGraceOver()) {
        this.remove(upstream);
        continue;
      }
      if (this.options.isZoneEvacuated?.(record.zone)) continue;
      found.push(upstream);
    }
    return found;
  }

  /** Returns all listed upstreams, including draining ones. */
  listAll(): Upstream[] {
    return [...this.byId.values()];
  }

  /** Returns a count and hash of the list, by which instances check that theirs are equal. */
  formatState(): string {
    if (this.state !== undefined) return this.state;
    let count = 0;
    let sum = 0;
    for (const { record, missingSinceMs } of this.byId.values()) {
      if (missingSinceMs !== undefined) continue;
      count += 1;
      const { id, version, isDraining, startedAtMs } = record;
      sum = (sum + hashText(`${id} ${version} ${isDraining} ${startedAtMs}`)) >>> 0;
    }
    this.state = `${count}.${sum}`;
    return this.state;
  }

  find(id: string): Upstream | undefined {
    return this.byId.get(id);
  }

  private put(record: UpstreamRecord, revision: number): void {
    this.state = undefined;
    const known = this.byId.get(record.id);
    if (!known) {
      const upstream = new Upstream(record, this.options.clock, revision);
      this.byId.set(record.id, upstream);
      const siblings = this.byService.get(record.service) ?? new Set<Upstream>();
      this.byService.set(record.service, siblings.add(upstream));
      if (this.isGoneRun(record)) this.hold(upstream);
      this.options.onEvent?.('seen', record);
      if (record.slots < 1) this.options.onEvent?.('without_slots', record);
      return;
    }
    if (record.isDraining && !known.record.isDraining) this.options.onEvent?.('draining', record);
    const hasRestarted = record.startedAtMs !== known.record.startedAtMs;
    if (hasRestarted) {
      known.restart();
      known.heldUntilMs = -Infinity;
    } else if (known.record.isDraining && !record.isDraining) this.hold(known);
    if (record.service !== known.record.service) {
      this.byService.get(known.record.service)?.delete(known);
      const siblings = this.byService.get(record.service) ?? new Set<Upstream>();
      this.byService.set(record.service, siblings.add(known));
    }
    if (record.slots < 1 && known.record.slots >= 1) {
      this.options.onEvent?.('without_slots', record);
    }
    known.update(record, revision);
    known.missingSinceMs = undefined;
    if (hasRestarted) this.options.onEvent?.('restarted', record);
  }

  private handleMissing(upstream: Upstream): void {
    this.state = undefined;
    if (!this.options.isStoreDisturbed() || upstream.record.isDraining) {
      this.remove(upstream);
      return;
    }
    if (upstream.missingSinceMs !== undefined) return;
    upstream.missingSinceMs = this.options.clock.monotonicMs();
    this.options.onEvent?.('missing', upstream.record);
  }

  /** Whether a missing entry should have been registered again by now. */
  private isRestoreGraceOver(): boolean {
    return this.options.getStoreRestoredAgeMs() >= RESTORE_GRACE_MS;
  }

  /** Holds an upstream until a restored store has had the time to drop its entry. */
  private hold(upstream: Upstream): void {
    upstream.heldUntilMs = this.restoredAtMs + ENTRY_LAPSE_MS;
  }

  private isGoneRun({ id, startedAtMs }: UpstreamRecord): boolean {
    const run = this.goneRuns.get(id);
    // A run that left the restored list is not one that the copy lists by mistake.
    return run?.startedAtMs === startedAtMs && run.goneAtMs < this.restoredAtMs;
  }

  private recordGoneRun({ id, startedAtMs }: UpstreamRecord): void {
    const goneAtMs = this.options.clock.monotonicMs();
    this.goneRuns.delete(id);
    this.goneRuns.set(id, { startedAtMs, goneAtMs });
    for (const [oldId, run] of this.goneRuns) {
      const isOld = goneAtMs - run.goneAtMs >= GONE_MEMORY_MS;
      if (!isOld && this.goneRuns.size <= MAX_GONE_RUNS) return;
      this.goneRuns.delete(oldId);
    }
  }

  private remove(upstream: Upstream): void {
    this.state = undefined;
    this.recordGoneRun(upstream.record);
    this.byId.delete(upstream.id);
    this.byService.get(upstream.record.service)?.delete(upstream);
    this.options.onEvent?.('gone', upstream.record);
  }
}
