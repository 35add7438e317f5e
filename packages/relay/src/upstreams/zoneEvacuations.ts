import type { Clock } from '@cactusstair/utils';
import { hashText } from '@cactusstair/utils';

import type { SourceChange, SourceItem } from '../follow/changeSource.js';

/** An operator's order to send no new requests to the upstreams of a zone. */
export interface ZoneEvacuation {
  zone: string;
}

/** Options of `ZoneEvacuations`. */
export interface ZoneEvacuationsOptions {
  clock: Clock;
  /** Whether the deployment has such orders; without them all zones are in use. */
  isFollowed: boolean;
  onEvent?: (state: 'started' | 'ended', zone: string) => void;
}

/** After a restore of the store, operators have written their orders again within this time. */
const RESTORE_SETTLE_MS = 10_000;

/**
 * The zones that operators have evacuated. The last state read stays in force while the store is
 * unavailable. An order is followed whatever its spec holds, also for a zone that is not known.
 *
 * Serves some zones, of which an operator may evacuate several or all.
 */
export class ZoneEvacuations {
  private readonly zones = new Set<string>();

  /** Whether the orders were read. Until then any zone may be evacuated. */
  private isLoaded = false;

  private state = '';

  /** Zones whose orders a restored copy of the store lacks, with the time until which they hold. */
  private readonly missing = new Map<string, number>();

  private restoredUntilMs = -Infinity;

  constructor(private readonly options: ZoneEvacuationsOptions) {
    this.updateState();
  }

  /** Replaces all orders. */
  applySnapshot(items: readonly SourceItem<ZoneEvacuation>[]): void {
    this.isLoaded = true;
    const listed = new Set(items.map(({ name }) => name));
    for (const zone of [...this.zones]) if (!listed.has(zone)) this.handleMissing(zone);
    for (const zone of listed) this.add(zone);
  }

  /** Keeps orders in force that the next list lacks, until their operators can have renewed them. */
  startRestore(): void {
    this.restoredUntilMs = this.options.clock.monotonicMs() + RESTORE_SETTLE_MS;
  }

  applyChange({ name, isDeleted }: SourceChange<ZoneEvacuation>): void {
    if (isDeleted) this.remove(name);
    else this.add(name);
  }

  /** Whether the upstreams of a zone may get no new requests. */
  isEvacuated(zone: string): boolean {
    if (!this.options.isFollowed) return false;
    this.removeOverdue();
    return !this.isLoaded || this.zones.has(zone);
  }

  listZones(): string[] {
    this.removeOverdue();
    return [...this.zones].sort();
  }

  /** Returns a count and hash of the orders, by which instances check that theirs are equal. */
  formatState(): string {
    return this.state;
  }

  private handleMissing(zone: string): void {
    if (this.options.clock.monotonicMs() >= this.restoredUntilMs) this.remove(zone);
    else if (!this.missing.has(zone)) this.missing.set(zone, this.restoredUntilMs);
    this.updateState();
  }

  private removeOverdue(): void {
    if (this.missing.size === 0) return;
    const nowMs = this.options.clock.monotonicMs();
    for (const [zone, untilMs] of this.missing) if (nowMs >= untilMs) this.remove(zone);
  }

  private add(zone: string): void {
    const wasMissing = this.missing.delete(zone);
    if (wasMissing) this.updateState();
    if (this.zones.has(zone)) return;
    this.zones.add(zone);
    this.updateState();
    this.options.onEvent?.('started', zone);
  }

  private remove(zone: string): void {
    this.missing.delete(zone);
    if (!this.zones.delete(zone)) return;
    this.updateState();
    this.options.onEvent?.('ended', zone);
  }

  private updateState(): void {
    const listed = [...this.zones].filter((zone) => !this.missing.has(zone));
    const sum = listed.reduce((total, zone) => (total + hashText(zone)) >>> 0, 0);
    this.state = `${listed.length}.${sum}`;
  }
}
