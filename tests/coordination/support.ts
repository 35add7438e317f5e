import { MemoryObjectStore } from '@cactusstair/coordination';
import type { StoredObject, StoreResult } from '@cactusstair/coordination';
import type { ConfigObject } from '@cactusstair/protocol';
import { Workspace } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';
import { err } from 'neverthrow';

export const clusterKey = Buffer.alloc(32, 7);

/** A workspace object whose weight equals its revision, so that a test sees which one is held. */
export function createWorkspace(name: string, revision: number): ConfigObject {
  const value = JSON.stringify(
    Workspace.toJSON(Workspace.fromPartial({ name, weight: revision, apiKeyDigests: ['d1'] })),
  );
  return { kind: 'workspace', name, version: 1, revision, deleted: false, value };
}

export function createDeletion(name: string, revision: number): ConfigObject {
  return { kind: 'workspace', name, version: 0, revision, deleted: true, value: '' };
}

/** Waits on the real clock for a state that background tasks reach. */
export async function waitUntil(what: string, check: () => boolean): Promise<void> {
  await waitFor(check, { what, timeoutMs: 5000, intervalMs: 1 });
}

type Interception = (
  store: InterceptedStore,
  write: () => StoreResult<StoredObject>,
) => StoreResult<StoredObject>;

/** A store whose next writes go through the queued interceptions, one each. */
export class InterceptedStore extends MemoryObjectStore {
  readonly interceptions: Interception[] = [];

  override create(kind: string, name: string, value: unknown): StoreResult<StoredObject> {
    return this.intercept(() => super.create(kind, name, value));
  }

  override update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): StoreResult<StoredObject> {
    return this.intercept(() => super.update(kind, name, value, expectedVersion));
  }

  private intercept(write: () => StoreResult<StoredObject>): StoreResult<StoredObject> {
    const interception = this.interceptions.shift();
    return interception ? interception(this, write) : write();
  }
}

/** The outcome of a write that was sent and got no answer. */
export async function loseAnswer(): StoreResult<StoredObject> {
  return err({ type: 'unknown', message: 'no answer' });
}
