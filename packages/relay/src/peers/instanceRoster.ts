import type { KnownInstances } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { PeerTable } from './peerTable.js';

/**
 * Time in which all reachable instances hear of one that has started: three messages, of which two may
 * be lost.
 */
const INTRODUCTION_MS = 3000;

/**
 * All instances that this one has heard of. Silence removes none: an instance that is cut off may
 * still send requests.
 */
export class InstanceRoster {
  /** When the records of the instances in the store were first read; undefined before. */
  private listedAtMs: number | undefined;

  /** Largest number of instances that were known to run at the same time. */
  private largestCount = 1;

  constructor(
    private readonly clock: Clock,
    private readonly self: string,
    private readonly table: Pick<PeerTable, 'listKnownNames'>,
  ) {}

  /** Records that the instances that the store names were added. */
  recordListed(): void {
    this.listedAtMs ??= this.clock.monotonicMs();
  }

  /** Whether the records of the instances in the store were read. */
  get isListed(): boolean {
    return this.listedAtMs !== undefined;
  }

  /** Records the number of instances that run now. */
  recordCount(count: number): void {
    this.largestCount = Math.max(this.largestCount, count);
  }

  describe(): KnownInstances {
    const others = this.table.listKnownNames();
    const listedAtMs = this.listedAtMs ?? Infinity;
    return {
      self: this.self,
      others,
      count: Math.max(this.largestCount, others.length + 1),
      isIntroduced: this.clock.monotonicMs() - listedAtMs >= INTRODUCTION_MS,
    };
  }
}
