import type { Bill } from '@cactusstair/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore, StoreFailure } from './objectStore.js';

/** Kind of the objects that hold bills. */
export const BILL_KIND = 'bill';
/** Attempts to store one segment; each conflict or lost answer uses one. */
const MAX_STORE_ATTEMPTS = 8;

/** Identifies one run of an instance. */
export interface InstanceRun {
  origin: string;
  incarnation: number;
}

/** Formats the identity of an instance run as a part of an object name. */
export function formatRun({ origin, incarnation }: InstanceRun): string {
  return `${origin}.${incarnation}`;
}

/** Computes the key that deduplicates the bills of a request. */
export function computeBillKey(bill: Pick<Bill, 'workspace' | 'requestId'>): string {
  return JSON.stringify([bill.workspace, bill.requestId]);
}

/** Reads the bills of a stored segment. */
export function readSegment(value: unknown): Bill[] {
  return (value as { bills?: Bill[] }).bills ?? [];
}

/** Splits bills into segments whose serialised size stays below `maxBytes`. */
export function splitSegments(bills: readonly Bill[], maxBytes: number): Bill[][] {
  const segments: Bill[][] = [];
  let bytes = Infinity;
  for (const bill of bills) {
    const size = Buffer.byteLength(JSON.stringify(bill)) + 1;
    if (bytes + size > maxBytes) {
      segments.push([]);
      bytes = 16;
    }
    segments.at(-1)?.push(bill);
    bytes += size;
  }
  return segments;
}

/**
 * Stores one segment in an object named after its first bill. If that object exists, only the
 * bills that it lacks are stored, in an object whose name also contains the writer. Storing a
 * segment again has no effect.
 */
export async function storeSegment(
  store: ObjectStore,
  segment: readonly Bill[],
  writer: InstanceRun,
): Promise<Result<void, StoreFailure>> {
  let missing = segment;
  let suffix = '';
  let failure: StoreFailure = { type: 'conflict' };
  for (let attempt = 1; attempt <= MAX_STORE_ATTEMPTS; attempt += 1) {
    const [first] = missing;
    if (!first) return ok(undefined);
    const name = `${formatRun(first)}.${first.sequence}${suffix}`;
    const created = await store.create(BILL_KIND, name, { bills: missing });
    if (created.isOk()) return ok(undefined);
    failure = created.error;
    if (failure.type === 'unavailable') break;
    const stored = await store.get(BILL_KIND, name);
    if (stored.isOk()) {
      const storedIds = new Set(readSegment(stored.value.value).map(formatBillId));
      missing = missing.filter((bill) => !storedIds.has(formatBillId(bill)));
      suffix = `.${formatRun(writer)}.${attempt}`;
    } else if (stored.error.type !== 'not_found') {
      failure = stored.error;
      break;
    }
  }
  return err(failure);
}

function formatBillId(bill: Bill): string {
  return `${formatRun(bill)}.${bill.sequence}`;
}

/**
 * Yields one bill for each workspace and request id in the stored segments: of several, the one
 * with the lowest store revision.
 *
 * @throws Error when the object API cannot be read.
 */
export async function* exportBills(store: ObjectStore, workspace?: string): AsyncIterable<Bill> {
  const listed = await store.list(BILL_KIND);
  if (listed.isErr()) {
    throw new Error(`the bills cannot be listed: ${listed.error.type}; repeat the export later`);
  }
  const seen = new Set<string>();
  for (const object of listed.value.objects.sort((a, b) => a.revision - b.revision)) {
    for (const bill of readSegment(object.value)) {
      const key = computeBillKey(bill);
      if (seen.has(key) || (workspace !== undefined && bill.workspace !== workspace)) continue;
      seen.add(key);
      yield bill;
    }
  }
}
