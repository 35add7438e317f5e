import type {
  BillCopier,
  BillingJournalOptions,
  ObjectStore,
  UnnumberedBill,
} from '@cactusstair/coordination';
import { BillingJournal, exportBills, MemoryObjectStore } from '@cactusstair/coordination';
import type { Bill } from '@cactusstair/protocol';
import { LifecycleManager, ManualClock } from '@cactusstair/utils';

import { runUntil } from './runUntil.js';

/** Creates a bill without the numbers that its origin assigns. */
export function createBill(requestId: string, workspace = 'club'): UnnumberedBill {
  return {
    workspace,
    requestId,
    model: 'small',
    version: '1',
    promptTokens: 10,
    completionTokens: 20,
    costMicros: 30,
    finishedAtMs: 1,
    steps: [],
  };
}

/** Returns the request ids of the exported bills in ascending order, with duplicates. */
export async function exportIds(store: ObjectStore, workspace?: string): Promise<string[]> {
  const ids: string[] = [];
  for await (const bill of exportBills(store, workspace)) ids.push(bill.requestId);
  return ids.sort();
}

/** Copies each batch of bills to the holder that `chooseHolder` selects, by default the first. */
export class MemoryCopier implements BillCopier {
  copyCalls: Bill[][] = [];

  releases: number[] = [];

  /** Whether releases reach the holders. */
  releasesArrive = true;

  constructor(
    public holders: BillingJournal[],
    public chooseHolder: (callNumber: number) => number = () => 0,
  ) {}

  async copy(bills: Bill[]): Promise<boolean> {
    this.copyCalls.push(bills);
    const holder = this.holders[this.chooseHolder(this.copyCalls.length)];
    return holder?.holdCopies(bills) ?? false;
  }

  release(origin: string, incarnation: number, upToSequence: number): void {
    this.releases.push(upToSequence);
    if (!this.releasesArrive) return;
    for (const holder of this.holders) holder.releaseCopies(origin, incarnation, upToSequence);
  }
}

/** Creates a store with a clock, and a function that starts journals on it. */
export function createBillingFixture() {
  const clock = new ManualClock(1_000_000);
  const memory = new MemoryObjectStore();
  const startJournal = (
    origin: string,
    copier: BillCopier = new MemoryCopier([]),
    options: Partial<BillingJournalOptions> = {},
  ) =>
    new BillingJournal({
      store: memory,
      copier,
      clock,
      lifecycle: new LifecycleManager(),
      origin,
      incarnation: 1,
      ...options,
    });
  const run = <T>(promise: Promise<T>) => runUntil(clock, promise);
  return { clock, memory, startJournal, run };
}
