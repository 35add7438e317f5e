import type { JsonObject, ObjectStore, StoredObject } from '@cactusstair/coordination';
import { editObject, writeWithReadBack } from '@cactusstair/coordination';
import type { Change, Failure } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { convertStoreFailure } from './operatorFailure.js';

/** Reason for which an edit writes nothing. */
type SkippedEdit = { type: 'not_found' } | { type: 'unchanged' };

/** Reads and writes configuration objects for operators and for the rollout controller. */
export class ConfigEditor {
  constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  /** Writes an object if its version is `expectedVersion`; 0 creates it. */
  async put(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<Change, Failure>> {
    const written = await writeWithReadBack(
      this.store,
      kind,
      name,
      value as JsonObject,
      expectedVersion,
    );
    return written
      .map((object) => this.createChange(object))
      .mapErr((failure) => convertStoreFailure(failure, `${kind} ${name}`, expectedVersion));
  }

  /**
   * Changes an existing object whatever its version is, and retries after a concurrent change.
   *
   * @param change returns the new value, or undefined to leave the object unchanged.
   */
  async edit(
    kind: string,
    name: string,
    change: (value: unknown) => unknown,
  ): Promise<Result<void, Failure>> {
    const subject = `${kind} ${name}`;
    let version = 0;
    const edited = await editObject<SkippedEdit>(this.store, kind, name, (current) => {
      if (!current) return err({ type: 'not_found' });
      version = current.version;
      const value = change(current.value);
      return value === undefined ? err({ type: 'unchanged' }) : ok(value as JsonObject);
    });
    if (edited.isOk() || edited.error.type === 'unchanged') return ok(undefined);
    return err(convertStoreFailure(edited.error, subject, version));
  }

  async get(kind: string, name: string): Promise<Result<StoredObject, Failure>> {
    const found = await this.store.get(kind, name);
    return found.mapErr((failure) => convertStoreFailure(failure, `${kind} ${name}`, 0));
  }

  async list(kind: string): Promise<Result<StoredObject[], Failure>> {
    const found = await this.store.list(kind);
    return found
      .map(({ objects }) => objects)
      .mapErr((failure) => convertStoreFailure(failure, `the list of ${kind}s`, 0));
  }

  async remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<Change, Failure>> {
    const removed = await this.store.remove(kind, name, expectedVersion);
    return removed
      .map(({ revision }) => this.createChange({ kind, name, version: 0, revision }))
      .mapErr((failure) => convertStoreFailure(failure, `${kind} ${name}`, expectedVersion));
  }

  /** Creates the reply to a change from the object that is stored. */
  createChange(object: Omit<StoredObject, 'value'>): Change {
    const { kind, name, version, revision } = object;
    return { kind, name, version, revision, acceptedAtMs: this.clock.wallMs() };
  }
}
