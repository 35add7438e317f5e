import type { Bill } from '@cactusstair/protocol';

import type { InstanceRun } from './billBatches.js';
import { formatRun } from './billBatches.js';

interface HeldRun {
  run: InstanceRun;
  bills: Map<number, Bill>;
  /** Bills up to this sequence number are stored; late copies of them are dropped. */
  releasedUpTo: number;
  lost: boolean;
}

/** Runs that are remembered after their bills were released; a late copy is then recognised. */
const MAX_REMEMBERED_RUNS = 2000;

/** Copies of other instances' bills, bounded in number. */
export class HeldBills {
  private readonly runs = new Map<string, HeldRun>();

  private count = 0;

  constructor(private readonly maxBills: number) {}

  get size(): number {
    return this.count;
  }

  /** Holds all bills or, when there is no room for them, none. */
  tryHold(bills: readonly Bill[]): boolean {
    const added = bills.filter((bill) => this.isNew(bill));
    if (this.count + added.length > this.maxBills) return false;
    for (const bill of added) {
      const { bills: held } = this.getRun(bill);
      // The same bill can occur twice in one call.
      if (!held.has(bill.sequence)) this.count += 1;
      held.set(bill.sequence, bill);
    }
    return true;
  }

  release(run: InstanceRun, upToSequence: number): void {
    const held = this.getRun(run);
    held.releasedUpTo = Math.max(held.releasedUpTo, upToSequence);
    for (const sequence of held.bills.keys()) {
      if (sequence <= upToSequence) this.remove(run, sequence);
    }
  }

  remove(run: InstanceRun, sequence: number): void {
    if (this.runs.get(formatRun(run))?.bills.delete(sequence)) this.count -= 1;
  }

  markLost(run: InstanceRun): void {
    this.getRun(run).lost = true;
  }

  /** Returns the held bills of each lost run in the order of their numbers. */
  listLost(): Bill[][] {
    return [...this.runs.values()]
      .filter((held) => held.lost && held.bills.size > 0)
      .map((held) => [...held.bills.values()].sort((a, b) => a.sequence - b.sequence));
  }

  private isNew(bill: Bill): boolean {
    const held = this.runs.get(formatRun(bill));
    return !held || (bill.sequence > held.releasedUpTo && !held.bills.has(bill.sequence));
  }

  private getRun({ origin, incarnation }: InstanceRun): HeldRun {
    const key = formatRun({ origin, incarnation });
    const known = this.runs.get(key);
    if (known) return known;
    const created = {
      run: { origin, incarnation },
      bills: new Map<number, Bill>(),
      releasedUpTo: 0,
      lost: false,
    };
    this.runs.set(key, created);
    this.forgetEmptyRuns();
    return created;
  }

  private forgetEmptyRuns(): void {
    for (const [key, held] of this.runs) {
      if (this.runs.size <= MAX_REMEMBERED_RUNS) return;
      if (held.bills.size === 0) this.runs.delete(key);
    }
  }
}
