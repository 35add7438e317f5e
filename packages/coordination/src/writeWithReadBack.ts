import { randomUUID } from 'node:crypto';

import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ObjectStore, StoredObject, StoreFailure, StoreResult } from './objectStore.js';

/** A JSON object, the shape of every stored value. */
export type JsonObject = Record<string, unknown>;

/** Options of `writeWithReadBack` and `editObject`. */
export interface WriteOptions {
  /** Read-backs after a lost answer before the outcome is reported as unknown. Default 4. */
  maxReadBacks?: number;
  /** Pause before a repeated call, in milliseconds. Default 50. */
  pauseMs?: number;
  clock?: Clock;
}

/** Options of `editObject`. */
export interface EditOptions extends WriteOptions {
  /** Attempts before a conflict with concurrent writers is reported. Default 8. */
  maxAttempts?: number;
}

const DEFAULT_MAX_READ_BACKS = 4;
const DEFAULT_PAUSE_MS = 50;
const DEFAULT_MAX_ATTEMPTS = 8;

interface PendingWrite {
  kind: string;
  name: string;
  value: JsonObject;
  expectedVersion: number;
  changeId: string;
  /** Revision of the object that the write replaces, if the writer has read it. */
  baseRevision?: number | undefined;
}

/** Returns the id of the change that wrote a value. */
export function getChangeId(value: unknown): string | undefined {
  const changeId = (value as JsonObject | null | undefined)?.changeId;
  return typeof changeId === 'string' ? changeId : undefined;
}

/**
 * Writes an object and resolves a lost answer by reading the object back.
 *
 * The stored value carries a fresh `changeId` next to the given fields. After a lost answer the
 * write is repeated with the same id and the same expected version while the object is unchanged,
 * so that at most one of the copies takes effect, even if the first arrives late.
 *
 * @param expectedVersion version to replace, or 0 to create the object.
 * @returns the stored object; `unknown` if the read-backs do not show the outcome, for example
 * because another writer has since replaced or removed the object.
 */
export async function writeWithReadBack(
  store: ObjectStore,
  kind: string,
  name: string,
  value: JsonObject,
  expectedVersion: number,
  options: WriteOptions = {},
): StoreResult<StoredObject> {
  const changeId = randomUUID();
  const stored = { ...value, changeId };
  return sendWithReadBack(store, { kind, name, value: stored, expectedVersion, changeId }, options);
}

/**
 * Edits an object by read, modify and conditional write, and retries when another writer changed
 * it in between.
 *
 * @param modify returns the new value, or an error that ends the edit. It runs once per attempt
 * and must have no side effects. `current` is undefined if the object does not exist.
 */
export async function editObject<E = never>(
  store: ObjectStore,
  kind: string,
  name: string,
  modify: (current: StoredObject | undefined) => Result<JsonObject, E>,
  options: EditOptions = {},
): Promise<Result<StoredObject, StoreFailure | E>> {
  const clock = options.clock ?? systemClock;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  let lastFailure: StoreFailure = { type: 'conflict' };
  for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
    if (attempt > 1) await clock.sleep(options.pauseMs ?? DEFAULT_PAUSE_MS);
    const read = await store.get(kind, name);
    if (read.isErr() && read.error.type !== 'not_found') return err(read.error);
    const current = read.isOk() ? read.value : undefined;
    const modified = modify(current);
    if (modified.isErr()) return err(modified.error);
    const changeId = randomUUID();
    const written = await sendWithReadBack(
      store,
      {
        kind,
        name,
        value: { ...modified.value, changeId },
        expectedVersion: current?.version ?? 0,
        changeId,
        baseRevision: current?.revision,
      },
      options,
    );
    if (written.isOk()) return ok(written.value);
    lastFailure = written.error;
    // A concurrent writer replaced or removed the object after the read; the next read shows it.
    if (lastFailure.type !== 'conflict' && lastFailure.type !== 'not_found') break;
  }
  return err(lastFailure);
}

async function sendWithReadBack(
  store: ObjectStore,
  write: PendingWrite,
  options: WriteOptions,
): StoreResult<StoredObject> {
  const clock = options.clock ?? systemClock;
  const pauseMs = options.pauseMs ?? DEFAULT_PAUSE_MS;
  const maxReadBacks = options.maxReadBacks ?? DEFAULT_MAX_READ_BACKS;
  let result = await send(store, write);
  if (result.isOk() || result.error.type !== 'unknown') return acceptOwnChange(result, write);
  const lost = result.error;
  for (let readBack = 0; readBack < maxReadBacks; readBack += 1) {
    if (readBack > 0) await clock.sleep(pauseMs);
    const read = await store.get(write.kind, write.name);
    const outcome = classifyReadBack(read, write);
    if (outcome === 'repeat') {
      result = await send(store, write);
      // The conflict may be with the first copy of this write, which only the change id shows.
      if (result.isOk()) return result;
      if (result.error.type === 'conflict' && result.error.current) {
        const classified = classifyReadBack(ok(result.error.current), write);
        if (typeof classified !== 'string') return classified;
      }
    } else if (outcome !== 'undecided') {
      return outcome;
    }
  }
  return err(lost);
}

function send(store: ObjectStore, write: PendingWrite): StoreResult<StoredObject> {
  return write.expectedVersion === 0
    ? store.create(write.kind, write.name, write.value)
    : store.update(write.kind, write.name, write.value, write.expectedVersion);
}

/** Treats a conflict with this same change as success, because a transport may repeat a request. */
function acceptOwnChange(
  result: Result<StoredObject, StoreFailure>,
  write: PendingWrite,
): Result<StoredObject, StoreFailure> {
  if (result.isOk() || result.error.type !== 'conflict') return result;
  const { current } = result.error;
  return current && getChangeId(current.value) === write.changeId ? ok(current) : result;
}

type ReadBackOutcome = Result<StoredObject, StoreFailure> | 'repeat' | 'undecided';

function classifyReadBack(
  read: Result<StoredObject, StoreFailure>,
  write: PendingWrite,
): ReadBackOutcome {
  // If the object is missing, the write may have taken effect before a removal. Creating the object
  // again could undo that removal.
  if (read.isErr()) return 'undecided';
  const current = read.value;
  if (getChangeId(current.value) === write.changeId) return ok(current);
  const isBase =
    current.version === write.expectedVersion &&
    (write.baseRevision === undefined || write.baseRevision === current.revision);
  if (isBase) return 'repeat';
  // The next version belongs to another writer, so this write did not and cannot take effect. A
  // higher or lower version, after more writes or a re-creation, does not show the outcome.
  if (current.version === write.expectedVersion + 1 && write.expectedVersion > 0) {
    return err({ type: 'conflict', current });
  }
  return 'undecided';
}
