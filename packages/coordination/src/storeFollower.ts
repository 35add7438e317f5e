import type { ConfigObject } from '@cactusstair/protocol';
import type { Clock, Random } from '@cactusstair/utils';
import { createRandom, systemClock } from '@cactusstair/utils';

import { configKinds, toConfigObject } from './configObjects.js';
import type { ConfigReplica } from './configReplica.js';
import type { ObjectStore, WatchEvent } from './objectStore.js';

/** Options of `StoreFollower`. */
export interface StoreFollowerOptions {
  store: ObjectStore;
  replica: ConfigReplica;
  clock?: Clock;
  random?: Random;
  /** Time between two reads of the store's revision, in milliseconds. Default 1000. */
  pollIntervalMs?: number;
  /** Time after which a watch that misses an existing revision is reopened. Default 3000 ms. */
  stallTimeoutMs?: number;
  /** Longest pause before a new attempt after a failure, in milliseconds. Default 5000. */
  maxRetryDelayMs?: number;
  /** Called when the watch is opened and when it ends, with the reason. */
  onStateChange?: (state: 'following' | 'interrupted', reason: string) => void;
}

const DEFAULT_POLL_INTERVAL_MS = 1000;
const DEFAULT_STALL_TIMEOUT_MS = 3000;
const DEFAULT_MAX_RETRY_DELAY_MS = 5000;
const MIN_RETRY_DELAY_MS = 100;

/**
 * Keeps a replica up to date with the object API: lists and watches the objects, and polls the
 * revision to confirm that the replica is complete.
 */
export class StoreFollower {
  private readonly clock: Clock;

  private readonly random: Random;

  constructor(private readonly options: StoreFollowerOptions) {
    this.clock = options.clock ?? systemClock;
    this.random = options.random ?? createRandom(Date.now());
  }

  /** Follows the store until `signal` aborts. After a failure it lists again with backoff. */
  async run(signal: AbortSignal): Promise<void> {
    let delayMs = MIN_RETRY_DELAY_MS;
    while (!signal.aborted) {
      const listed = await this.loadSnapshot();
      if (listed.ok) {
        delayMs = MIN_RETRY_DELAY_MS;
        this.options.onStateChange?.('following', `from revision ${listed.revision}`);
        const reason = await this.follow(listed.revision, signal);
        this.options.onStateChange?.('interrupted', reason);
      }
      // Jitter prevents the watchers of all zones from listing at the same time after an outage.
      await this.clock.sleep(delayMs * (0.5 + this.random.next() / 2), signal);
      delayMs = Math.min(delayMs * 2, this.options.maxRetryDelayMs ?? DEFAULT_MAX_RETRY_DELAY_MS);
    }
  }

  /**
   * Lists all kinds. Reads may lag behind the store, each by another time, so the snapshot is
   * complete only up to the oldest of the lists, from where the watch goes on.
   */
  private async loadSnapshot(): Promise<{ ok: true; revision: number } | { ok: false }> {
    const { store, replica } = this.options;
    const startedAtMs = this.clock.monotonicMs();
    const revision = await store.getRevision();
    if (revision.isErr()) return { ok: false };
    const objects: ConfigObject[] = [];
    let completeTo = revision.value;
    for (const kind of configKinds) {
      const listed = await store.list(kind);
      if (listed.isErr()) return { ok: false };
      objects.push(...listed.value.objects.map(toConfigObject));
      completeTo = Math.min(completeTo, listed.value.revision);
    }
    replica.applySnapshot(objects, completeTo);
    replica.confirm(startedAtMs, revision.value);
    return { ok: true, revision: completeTo };
  }

  /** Watches and polls until one of them ends, and returns the reason. */
  private async follow(fromRevision: number, outerSignal: AbortSignal): Promise<string> {
    const session = new AbortController();
    const abort = () => session.abort();
    outerSignal.addEventListener('abort', abort, { once: true });
    if (outerSignal.aborted) abort();
    const tasks = [this.watch(fromRevision, session.signal), this.pollRevision(session.signal)].map(
      (task) =>
        task.catch((error: unknown) => (error as Error).message).finally(() => session.abort()),
    );
    const reason = await Promise.race(tasks);
    await Promise.all(tasks);
    outerSignal.removeEventListener('abort', abort);
    return reason;
  }

  private async watch(fromRevision: number, signal: AbortSignal): Promise<string> {
    const { store, replica } = this.options;
    let lastRevision = fromRevision;
    for await (const event of store.watch(configKinds, fromRevision, signal)) {
      const revision = event.type === 'put' ? event.object.revision : event.revision;
      // A watch delivers events in revision order. After a violation any event may be missing, so
      // the watch ends and the objects are listed again.
      if (revision < lastRevision) {
        return `the watch sent revision ${revision} after ${lastRevision}`;
      }
      lastRevision = revision;
      replica.applyObjects(toConfigObjects(event), revision);
    }
    return 'the watch ended';
  }

  private async pollRevision(signal: AbortSignal): Promise<string> {
    const { store, replica } = this.options;
    const stallTimeoutMs = this.options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS;
    let awaited: { revision: number; sinceMs: number } | undefined;
    for (;;) {
      await this.clock.sleep(this.options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS, signal);
      if (signal.aborted) return 'stopped';
      const startedAtMs = this.clock.monotonicMs();
      const revision = await store.getRevision();
      if (revision.isErr()) continue;
      replica.confirm(startedAtMs, revision.value);
      if (awaited && replica.appliedRevision >= awaited.revision) awaited = undefined;
      if (replica.appliedRevision < revision.value) {
        awaited ??= { revision: revision.value, sinceMs: startedAtMs };
      }
      // An open connection can stall, which looks like a watch without events.
      if (awaited && this.clock.monotonicMs() - awaited.sinceMs >= stallTimeoutMs) {
        return `the watch did not reach revision ${awaited.revision} in ${stallTimeoutMs} ms`;
      }
    }
  }
}

function toConfigObjects(event: WatchEvent): ConfigObject[] {
  if (event.type === 'bookmark') return [];
  if (event.type === 'put') return [toConfigObject(event.object)];
  const { kind, name, revision } = event;
  return [{ kind, name, version: 0, revision, deleted: true, value: '' }];
}
