import { EventEmitter, on } from 'node:events';

import { err, ok } from 'neverthrow';

import type {
  ObjectList,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchEvent,
} from './objectStore.js';

/** Fault that is injected into the next calls. */
export type StoreFault = 'none' | 'unavailable' | 'lost_answer';

/** In-memory object store for tests and for programs that embed this package. */
export class MemoryObjectStore implements ObjectStore {
  /** Applies to each call until it is changed. A lost answer affects writes only. */
  fault: StoreFault = 'none';

  /** Calls so far, by operation. */
  readonly calls = { read: 0, write: 0, watch: 0 };

  private revision = 0;

  private readonly objects = new Map<string, StoredObject>();

  private readonly events: WatchEvent[] = [];

  private readonly emitter = new EventEmitter().setMaxListeners(0);

  async get(kind: string, name: string): StoreResult<StoredObject> {
    return this.read(() => {
      const object = this.objects.get(`${kind}/${name}`);
      return object ? ok(structuredClone(object)) : err({ type: 'not_found' });
    });
  }

  async list(kind: string): StoreResult<ObjectList> {
    return this.read(() => {
      const found = [...this.objects.values()].filter((object) => object.kind === kind);
      const objects = structuredClone(found.sort((a, b) => (a.name < b.name ? -1 : 1)));
      return ok({ objects, revision: this.revision });
    });
  }

  async getRevision(): StoreResult<number> {
    return this.read(() => ok(this.revision));
  }

  async create(kind: string, name: string, value: unknown): StoreResult<StoredObject> {
    return this.put(kind, name, value, 0);
  }

  async update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): StoreResult<StoredObject> {
    return this.put(kind, name, value, expectedVersion);
  }

  async remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): StoreResult<{ revision: number }> {
    return this.write(() => {
      const current = this.objects.get(`${kind}/${name}`);
      if (!current) return err({ type: 'not_found' });
      if (current.version !== expectedVersion) return this.createConflict(current);
      this.objects.delete(`${kind}/${name}`);
      this.revision += 1;
      this.publish({ type: 'delete', kind, name, revision: this.revision });
      return ok({ revision: this.revision });
    });
  }

  async *watch(
    kinds: readonly string[],
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent> {
    this.calls.watch += 1;
    if (this.fault === 'unavailable') throw new Error('the object store is unavailable');
    const live = on(this.emitter, 'event', { signal });
    const past = this.events.filter((event) => this.isSelected(event, kinds, fromRevision));
    // Read here, because writes that arrive while the reader consumes the past events raise the
    // revision, and their events are delivered only after the bookmark.
    const { revision } = this;
    yield* structuredClone(past);
    yield { type: 'bookmark', revision };
    try {
      for await (const [event] of live as AsyncIterable<[WatchEvent]>) {
        if (this.isSelected(event, kinds, fromRevision)) yield structuredClone(event);
        // A write of another kind raises the revision too; a reader may wait for that revision.
        else yield { type: 'bookmark', revision: getEventRevision(event) };
      }
    } catch (error) {
      if (!signal.aborted) throw error;
    }
  }

  private put(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): StoreResult<StoredObject> {
    return this.write(() => {
      const current = this.objects.get(`${kind}/${name}`);
      if (!current && expectedVersion > 0) return err({ type: 'not_found' });
      if ((current?.version ?? 0) !== expectedVersion) return this.createConflict(current);
      this.revision += 1;
      const object: StoredObject = {
        kind,
        name,
        version: expectedVersion + 1,
        revision: this.revision,
        value: structuredClone(value),
      };
      this.objects.set(`${kind}/${name}`, object);
      this.publish({ type: 'put', object });
      return ok(structuredClone(object));
    });
  }

  private createConflict(current: StoredObject | undefined) {
    const failure: StoreFailure = current
      ? { type: 'conflict', current: structuredClone(current) }
      : { type: 'conflict' };
    return err(failure);
  }

  private async read<T>(run: () => Awaited<StoreResult<T>>): StoreResult<T> {
    this.calls.read += 1;
    if (this.fault === 'unavailable') return this.refuse();
    return run();
  }

  private async write<T>(run: () => Awaited<StoreResult<T>>): StoreResult<T> {
    this.calls.write += 1;
    if (this.fault === 'unavailable') return this.refuse();
    const result = run();
    if (this.fault === 'lost_answer') {
      return err({ type: 'unknown', message: 'the answer was lost after the write' });
    }
    return result;
  }

  private refuse() {
    const failure: StoreFailure = {
      type: 'unavailable',
      message: 'the object store is unavailable',
    };
    return err(failure);
  }

  private publish(event: WatchEvent): void {
    this.events.push(event);
    this.emitter.emit('event', event);
  }

  private isSelected(event: WatchEvent, kinds: readonly string[], fromRevision: number): boolean {
    if (event.type === 'bookmark') return true;
    const { kind, revision } = event.type === 'put' ? event.object : event;
    return revision > fromRevision && kinds.includes(kind);
  }
}

function getEventRevision(event: WatchEvent): number {
  return event.type === 'put' ? event.object.revision : event.revision;
}
