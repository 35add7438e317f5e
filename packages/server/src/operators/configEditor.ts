import type { JsonObject, ObjectStore, StoredObject } from '@cactusstair/coordination';
import { editObject, writeSettled } from '@cactusstair/coordination';
import type { Change, Failure } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { describeStoreFailure } from './operatorFailure.js';

/** Why an edit wrote nothing. */
type EditEnd = { type: 'not_found' } | { type: 'unchanged' };

/** Reads and writes configuration objects for operators and for the rollout controller. */
export class ConfigEditor {
  constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  /** Writes an object on the condition that its version is `expectedVersion`, 0 to create it. */
  async put(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<Result<Change, Failure>> {
    const written = await writeSettled(
      this.store,
      kind,
      name,
      value as JsonObject,
      expectedVersion,
    );
    return written
      .map((object) => this.createChange(object))
      .mapErr((failure) => describeStoreFailure(failure, `${kind} ${name}`, expectedVersion));
  }

  /**
   * Changes an existing object whatever its version is, again after a racing change.
   *
   * @param change returns the new value, or undefined to leave the object as it is.
   */
  async edit(
    kind: string,
    name: string,
    change: (value: unknown) => unknown,
  ): Promise<Result<void, Failure>> {
    const subject = `${kind} ${name}`;
    let version = 0;
    const edited = await editObject<EditEnd>(this.store, kind, name, (current) => {
      if (!current) return err({ type: 'not_found' });
      version = current.version;
      const value = change(current.value);
      return value === undefined ? err({ type: 'unchanged' }) : ok(value as JsonObject);
    });
    if (edited.isOk() || edited.error.type === 'unchanged') return ok(undefined);
    return err(describeStoreFailure(edited.error, subject, version));
  }

  async get(kind: string, name: string): Promise<Result<StoredObject, Failure>> {
    const found = await this.store.get(kind, name);
    return found.mapErr((failure) => describeStoreFailure(failure, `${kind} ${name}`, 0));
  }

  async list(kind: string): Promise<Result<StoredObject[], Failure>> {
    const found = await this.store.list(kind);
    return found.mapErr((failure) => describeStoreFailure(failure, `the list of ${kind}s`, 0));
  }

  async remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<Change, Failure>> {
    const removed = await this.store.remove(kind, name, expectedVersion);
    return removed
      .map(({ revision }) => this.createChange({ kind, name, version: 0, revision }))
      .mapErr((failure) => describeStoreFailure(failure, `${kind} ${name}`, expectedVersion));
  }

  /** Describes an object that is stored already, as the answer to a change without effect. */
  createChange(object: Omit<StoredObject, 'value'>): Change {
    const { kind, name, version, revision } = object;
    return { kind, name, version, revision, acceptedAtMs: this.clock.wallMs() };
  }
}
