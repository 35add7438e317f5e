import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from './clockReading.js';
import { computeAgeMs, readClocks } from './clockReading.js';

/**
 * Era of the store, and the time in milliseconds since an instance saw it follow an earlier one;
 * null if it has seen no other era.
 */
export type StoreEra = [era: number, restoredAgeMs: number | null];

/** Keeps the newest era of the store and when it began, as this instance has seen it. */
export class StoreHistory {
  private newestEra: number | undefined;

  private restoredAt: ClockReading | undefined;

  /**
   * @param readEra returns the newest era that any answer of the store has named
   * @param onRestore called when an era follows another one
   */
  constructor(
    private readonly clock: Clock,
    private readonly readEra: () => number | undefined,
    private readonly onRestore: (era: number) => void,
  ) {}

  /** The newest era; undefined if the store names none. */
  get era(): number | undefined {
    const era = this.readEra();
    if (era === undefined || (this.newestEra !== undefined && era <= this.newestEra)) {
      return this.newestEra;
    }
    const isRestored = this.newestEra !== undefined;
    this.newestEra = era;
    if (isRestored) {
      this.restoredAt = readClocks(this.clock);
      this.onRestore(era);
    }
    return era;
  }

  /** Returns the era for a message to peers; undefined if the store names none. */
  describe(): StoreEra | undefined {
    const { era } = this;
    if (era === undefined) return undefined;
    return [era, this.restoredAt ? computeAgeMs(this.clock, this.restoredAt) : null];
  }
}
