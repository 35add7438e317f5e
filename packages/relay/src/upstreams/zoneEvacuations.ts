import { hashText } from '@cactusstair/utils';

import type { SourceChange, SourceItem } from '../follow/changeSource.js';

/** An operator's order to send no new requests to the upstreams of a zone. */
export interface ZoneEvacuation {
  zone: string;
}

/** Options of `ZoneEvacuations`. */
export interface ZoneEvacuationsOptions {
  /** Whether the deployment has such orders; without them all zones are in use. */
  isFollowed: boolean;
  onEvent?: (state: 'started' | 'ended', zone: string) => void;
}

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

  constructor(private readonly options: ZoneEvacuationsOptions) {
    this.updateState();
  }

  /** Replaces all orders. */
  applySnapshot(items: readonly SourceItem<ZoneEvacuation>[]): void {
    this.isLoaded = true;
    const listed = new Set(items.map(({ name }) => name));
    for (const zone of [...this.zones]) if (!listed.has(zone)) this.remove(zone);
    for (const zone of listed) this.add(zone);
  }

  applyChange({ name, isDeleted }: SourceChange<ZoneEvacuation>): void {
    if (isDeleted) this.remove(name);
    else this.add(name);
  }

  /** Whether the upstreams of a zone may get no new requests. */
  isEvacuated(zone: string): boolean {
    if (!this.options.isFollowed) return false;
    return !this.isLoaded || this.zones.has(zone);
  }

  listZones(): string[] {
    return [...this.zones].sort();
  }

  /** Returns a count and hash of the orders, by which instances check that theirs are equal. */
  formatState(): string {
    return this.state;
  }

  private add(zone: string): void {
    if (this.zones.has(zone)) return;
    this.zones.add(zone);
    this.updateState();
    this.options.onEvent?.('started', zone);
  }

  private remove(zone: string): void {
    if (!this.zones.delete(zone)) return;
    this.updateState();
    this.options.onEvent?.('ended', zone);
  }

  private updateState(): void {
    let sum = 0;
    for (const zone of this.zones) sum = (sum + hashText(zone)) >>> 0;
    this.state = `${this.zones.size}.${sum}`;
  }
}
