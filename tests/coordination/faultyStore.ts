import type {
  MemoryObjectStore,
  ObjectStore,
  StoreFailure,
  StoreResult,
} from '@cactusstair/coordination';
import { err } from 'neverthrow';

/**
 * Injected outcome of one call. `lost_request`: no effect and no answer; `late`: no answer, and the
 * effect comes later; `hang` and `hang_after`: never resolves, as if the caller were killed before
 * or after the effect.
 */
export type CallOutcome =
  'normal' | 'unavailable' | 'lost_answer' | 'lost_request' | 'late' | 'hang' | 'hang_after';

export type Operation = 'get' | 'list' | 'getRevision' | 'create' | 'update' | 'remove';

/** Options of `FaultyStore`. */
export interface FaultyStoreOptions {
  chooseOutcome?: (operation: Operation) => CallOutcome;
  /** Delays a call before it reaches the store. */
  delay?: (operation: Operation) => Promise<void>;
}

/** A store that loses, delays and rejects single calls. */
export class FaultyStore implements ObjectStore {
  readonly calls: Record<Operation, number> = {
    get: 0,
    list: 0,
    getRevision: 0,
    create: 0,
    update: 0,
    remove: 0,
  };

  /** Most writes that were in progress at one time. */
  maxConcurrentWrites = 0;

  private concurrentWrites = 0;

  /** Writes that were sent but have not reached the store. */
  private readonly lateWrites: (() => Promise<unknown>)[] = [];

  constructor(
    readonly inner: MemoryObjectStore,
    public options: FaultyStoreOptions = {},
  ) {}

  /** Lets the late writes reach the store. */
  async deliverLateWrites(): Promise<void> {
    for (const write of this.lateWrites.splice(0)) await write();
  }

  get(kind: string, name: string) {
    return this.call('get', () => this.inner.get(kind, name));
  }

  list(kind: string) {
    return this.call('list', () => this.inner.list(kind));
  }

  getRevision() {
    return this.call('getRevision', () => this.inner.getRevision());
  }

  create(kind: string, name: string, value: unknown) {
    const sent = structuredClone(value);
    return this.write('create', () => this.inner.create(kind, name, sent));
  }

  update(kind: string, name: string, value: unknown, expectedVersion: number) {
    const sent = structuredClone(value);
    return this.write('update', () => this.inner.update(kind, name, sent, expectedVersion));
  }

  remove(kind: string, name: string, expectedVersion: number) {
    return this.write('remove', () => this.inner.remove(kind, name, expectedVersion));
  }

  watch(kinds: readonly string[], fromRevision: number, signal: AbortSignal) {
    return this.inner.watch(kinds, fromRevision, signal);
  }

  private async write<T>(operation: Operation, run: () => StoreResult<T>): StoreResult<T> {
    this.concurrentWrites += 1;
    this.maxConcurrentWrites = Math.max(this.maxConcurrentWrites, this.concurrentWrites);
    const result = await this.call(operation, run);
    this.concurrentWrites -= 1;
    return result;
  }

  private async call<T>(operation: Operation, run: () => StoreResult<T>): StoreResult<T> {
    this.calls[operation] += 1;
    await this.options.delay?.(operation);
    const outcome = this.options.chooseOutcome?.(operation) ?? 'normal';
    if (outcome === 'normal') return run();
    if (outcome === 'lost_answer' || outcome === 'hang_after') await run();
    if (outcome === 'hang' || outcome === 'hang_after') return new Promise(() => {});
    if (outcome === 'late') this.lateWrites.push(run);
    const isRead = operation === 'get' || operation === 'list' || operation === 'getRevision';
    const failure: StoreFailure = {
      type: outcome === 'unavailable' || isRead ? 'unavailable' : 'unknown',
      message: `injected fault: ${outcome}`,
    };
    return err(failure);
  }
}
