import type { Bill } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';

import type { InstanceRun } from './billSegments.js';
import { formatRun } from './billSegments.js';

interface HeldBill {
  bill: Bill;
  heldSinceMs: number;
}

interface HeldRun {
  run: InstanceRun;
  bills: Map<number, HeldBill>;
  /** Bills up to this sequence number are stored; copies that arrive later are dropped. */
  releasedUpTo: number;
}

/** Largest number of runs kept after their bills were released, to recognise late copies. */
const MAX_REMEMBERED_RUNS = 2000;

/** Holds a bounded number of copies of other instances' bills. */
export class HeldBills {
  private readonly runs = new Map<string, HeldRun>();

  /** Highest incarnation of each origin that was reported lost. */
  private readonly lostIncarnations = new Map<string, number>();

  private count = 0;

  constructor(
    private readonly maxBills: number,
    private readonly clock: Clock,
  ) {}

  get size(): number {
    return this.count;
  }

  /** Holds all the bills, or none of them if they do not all fit. */
  tryHold(bills: readonly Bill[]): boolean {
    for (const bill of bills) this.markEarlierRunsLost(bill);
    const added = bills.filter((bill) => this.isNew(bill));
    if (this.count + added.length > this.maxBills) return false;
    for (const bill of added) {
      const { bills: held } = this.getRun(bill);
      // The same bill can occur twice in one call.
      if (!held.has(bill.sequence)) this.count += 1;
      held.set(bill.sequence, { bill, heldSinceMs: this.clock.monotonicMs() });
    }
    return true;
  }

  release(run: InstanceRun, upToSequence: number): void {
    this.markEarlierRunsLost(run);
    const held = this.getRun(run);
    held.releasedUpTo = Math.max(held.releasedUpTo, upToSequence);
    for (const sequence of held.bills.keys()) {
      if (sequence <= upToSequence) this.remove(run, sequence);
    }
  }

  remove(run: InstanceRun, sequence: number): void {
    if (this.runs.get(formatRun(run))?.bills.delete(sequence)) this.count -= 1;
  }

  /** Marks a run and the earlier runs of the same origin as lost. */
  markLost({ origin, incarnation }: InstanceRun): void {
    const known = this.lostIncarnations.get(origin) ?? 0;
    this.lostIncarnations.delete(origin);
    this.lostIncarnations.set(origin, Math.max(known, incarnation));
    const [oldest] = this.lostIncarnations.keys();
    if (this.lostIncarnations.size > MAX_REMEMBERED_RUNS && oldest !== undefined) {
      this.lostIncarnations.delete(oldest);
    }
  }

  /**
   * Returns, for each run, the bills that this instance has to store: those of lost runs and those
   * held for `maxHoldMs` or longer. They are sorted by sequence number.
   */
  listDue(maxHoldMs: number): Bill[][] {
    const heldBeforeMs = this.clock.monotonicMs() - maxHoldMs;
    const due: Bill[][] = [];
    for (const { run, bills } of this.runs.values()) {
      const isLost = run.incarnation <= (this.lostIncarnations.get(run.origin) ?? -1);
      const selected = [...bills.values()]
        .filter((held) => isLost || held.heldSinceMs <= heldBeforeMs)
        .map((held) => held.bill);
      if (selected.length > 0) due.push(selected.sort((a, b) => a.sequence - b.sequence));
    }
    return due;
  }

  /** An origin that has started again stores no bill of its earlier runs. */
  private markEarlierRunsLost({ origin, incarnation }: InstanceRun): void {
    if (this.runs.has(formatRun({ origin, incarnation }))) return;
    this.markLost({ origin, incarnation: incarnation - 1 });
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
      bills: new Map<number, HeldBill>(),
      releasedUpTo: 0,
    };
    this.runs.set(key, created);
    this.removeEmptyRuns();
    return created;
  }

  private removeEmptyRuns(): void {
    for (const [key, held] of this.runs) {
      if (this.runs.size <= MAX_REMEMBERED_RUNS) return;
      if (held.bills.size === 0) this.runs.delete(key);
    }
  }
}
