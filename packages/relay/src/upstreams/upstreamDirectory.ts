import type { Clock } from '@cactusstair/utils';
import { hashText } from '@cactusstair/utils';

import type { SourceChange, SourceItem } from '../follow/changeSource.js';
import { Upstream } from './upstream.js';
import type { UpstreamRecord } from './upstreamRecord.js';

/** Options of `UpstreamDirectory`. */
export interface UpstreamDirectoryOptions {
  clock: Clock;
  /** Whether entries may be missing because the store was disturbed a moment ago. */
  isStoreDisturbed: () => boolean;
  /** Time since the store came back; Infinity when it was not away. */
  getStoreRestoredAgeMs: () => number;
  onEvent?: (event: 'seen' | 'draining' | 'gone' | 'missing', upstream: UpstreamRecord) => void;
}

/** Entries that expired in an outage return about two seconds after it; later ones are gone. */
const RETURN_WITHIN_MS = 2000;

/** The upstreams that the platform lists, by service. */
export class UpstreamDirectory {
  private readonly byId = new Map<string, Upstream>();

  private readonly byService = new Map<string, Set<Upstream>>();

  private state: string | undefined;

  constructor(private readonly options: UpstreamDirectoryOptions) {}

  /** Replaces the whole list. */
  applySnapshot(items: readonly SourceItem<UpstreamRecord>[]): void {
    const listed = new Set<string>();
    for (const item of items) {
      if (!item.value) continue;
      listed.add(item.name);
      this.put(item.value);
    }
    for (const upstream of [...this.byId.values()]) {
      if (!listed.has(upstream.id)) this.handleMissing(upstream);
    }
  }

  applyChange(change: SourceChange<UpstreamRecord>): void {
    const known = this.byId.get(change.name);
    if (!change.isDeleted && change.value) this.put(change.value);
    else if (known) this.handleMissing(known);
  }

  /** Returns the upstreams of a service that may get new work. */
  listUsable(service: string): Upstream[] {
    const found: Upstream[] = [];
    for (const upstream of this.byService.get(service) ?? []) {
      if (upstream.record.isDraining) continue;
      if (upstream.missingSinceMs !== undefined && this.isOverdue()) {
        this.remove(upstream);
        continue;
      }
      found.push(upstream);
    }
    return found;
  }

  /** Returns all upstreams in the list, leaving ones included. */
  listAll(): Upstream[] {
    return [...this.byId.values()];
  }

  /** Describes the list, so that instances can tell whether they hold the same one. */
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

  private put(record: UpstreamRecord): void {
    this.state = undefined;
    const known = this.byId.get(record.id);
    if (!known) {
      const upstream = new Upstream(record, this.options.clock);
      this.byId.set(record.id, upstream);
      const peers = this.byService.get(record.service) ?? new Set<Upstream>();
      this.byService.set(record.service, peers.add(upstream));
      this.options.onEvent?.('seen', record);
      return;
    }
    if (record.isDraining && !known.record.isDraining) this.options.onEvent?.('draining', record);
    if (record.startedAtMs !== known.record.startedAtMs) known.restart();
    if (record.service !== known.record.service) {
      this.byService.get(known.record.service)?.delete(known);
      const peers = this.byService.get(record.service) ?? new Set<Upstream>();
      this.byService.set(record.service, peers.add(known));
    }
    known.record = record;
    known.missingSinceMs = undefined;
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

  /** Whether a missing entry would have returned by now. */
  private isOverdue(): boolean {
    return this.options.getStoreRestoredAgeMs() >= RETURN_WITHIN_MS;
  }

  private remove(upstream: Upstream): void {
    this.state = undefined;
    this.byId.delete(upstream.id);
    this.byService.get(upstream.record.service)?.delete(upstream);
    this.options.onEvent?.('gone', upstream.record);
  }
}
