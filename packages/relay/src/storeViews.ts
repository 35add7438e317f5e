import type { Clock, ConnectionGuardOptions, LifecycleManager } from '@cactusstair/utils';

import type { RelayConfig } from './config/relayConfig.js';
import { RestoredConfig } from './config/restoredConfig.js';
import type { ChangeSource, SourceItem, WriteOutcome } from './follow/changeSource.js';
import { SourceFollower } from './follow/sourceFollower.js';
import { StoreHistory } from './follow/storeHistory.js';
import type { EventLog } from './observe/eventLog.js';
import type { PeerExchange } from './peers/peerExchange.js';
import type { PeerMessage, ViewName } from './peers/peerMessage.js';
import { PeerSource } from './peers/peerSource.js';
import { SharedViews } from './peers/sharedViews.js';
import { ViewServer } from './peers/viewServer.js';
import type { SocketAddress } from './relayOptions.js';
import type { RelayStore } from './relayStore.js';
import type { RolloutRouter, TrackedOrder } from './rollouts/rolloutRouter.js';
import type { RolloutOrder, RolloutProgress } from './rollouts/rolloutOrder.js';
import type { UpstreamDirectory } from './upstreams/upstreamDirectory.js';
import type { UpstreamRecord } from './upstreams/upstreamRecord.js';
import type { ZoneEvacuation, ZoneEvacuations } from './upstreams/zoneEvacuations.js';

/** Options of `StoreViews`. */
export interface StoreViewsOptions {
  clock: Clock;
  store: RelayStore;
  peers: Pick<PeerExchange, 'findProvider' | 'getRank' | 'isWatcher'>;
  directory: UpstreamDirectory;
  rollouts: RolloutRouter;
  evacuations: ZoneEvacuations;
  /** Time within which a change in the store must be in force, in milliseconds. */
  boundMs: number;
  /** The same for evacuations; undefined where they are not followed. */
  evacuateMs: number | undefined;
  getConfigVersion: () => number | undefined;
  /** Whether the other instances are known, and each of them has been heard from. */
  hasHeardAll: () => boolean;
  /** Called with each configuration that was read; the same version may be passed repeatedly. */
  onConfig: (config: RelayConfig) => void;
  log: EventLog;
  /** Bounds on the connections of other instances. */
  peerConnections: ConnectionGuardOptions;
}

/** Long-poll duration; the store allows up to 30 s, and fewer polls cost less. */
const POLL_WAIT_MS = 29_000;
// Each change causes a call from every instance, so changes that come close together are read with
// one call. Both pauses are short compared with the 2 s bounds on applying a configuration and on
// draining upstreams.
const CONFIG_COALESCE_MS = 100;
const UPSTREAM_COALESCE_MS = 250;
// During a store outage only the configuration is polled often; its success triggers the others.
const OTHER_RETRY_MS = 2000;
// With the pauses of the other views, two failed reads would use up the bound on evacuations.
const EVACUATION_RETRY_MS = 1000;
/** Entries may still be missing for this long after the store became available again. */
const RECENT_OUTAGE_MS = 3000;
/** Minimum time between two reads that peers with the same newer era cause. */
const ERA_READ_INTERVAL_MS = 2000;

/**
 * Follows the configuration, the list of upstreams, the rollout orders and, where the deployment has
 * them, the evacuations of zones. Reads them from the store or from another instance that reads the
 * store, and serves them to other instances.
 */
export class StoreViews {
  readonly config: SourceFollower<RelayConfig>;

  readonly upstreams: SourceFollower<UpstreamRecord>;

  readonly rollouts: SourceFollower<RolloutOrder>;

  /** Undefined where evacuations are not followed. */
  readonly evacuations: SourceFollower<ZoneEvacuation> | undefined;

  /** Compares these states with those of the peers. */
  readonly shared: SharedViews;

  /** Era of the store. */
  readonly history: StoreHistory;

  private readonly restoredConfig: RestoredConfig;

  private readonly server: ViewServer;

  /** The last read that was caused by a peer with a newer era. */
  private eraRead = { era: -1, atMs: -Infinity };

  constructor(private readonly options: StoreViewsOptions) {
    const { clock, directory, log, rollouts, store } = options;
    this.history = new StoreHistory(
      clock,
      () => store.getEra?.(),
      (era) => log.write('store_restored', { era }),
    );
    this.restoredConfig = new RestoredConfig({
      clock,
      getVersion: options.getConfigVersion,
      getStoreEra: () => this.history.describe(),
      hasHeardAll: options.hasHeardAll,
      apply: options.onConfig,
    });
    const applyConfig = ({ value }: SourceItem<RelayConfig>) =>
      value && this.restoredConfig.offer(value);
    this.config = new SourceFollower({
      ...this.createOptions('config', store.config),
      coalesceMs: CONFIG_COALESCE_MS,
      onSnapshot: (items) => items.forEach(applyConfig),
      onChange: (change) => !change.isDeleted && applyConfig(change),
      onAvailability: (isAvailable, reason) => {
        log.write('store', { state: isAvailable ? 'available' : 'unavailable', reason });
        if (!isAvailable) return;
        this.upstreams.retryNow();
        this.rollouts.retryNow();
        this.evacuations?.retryNow();
      },
    });
    this.upstreams = new SourceFollower({
      ...this.createOptions('upstreams', store.upstreams),
      coalesceMs: UPSTREAM_COALESCE_MS,
      maxRetryMs: OTHER_RETRY_MS,
      onEra: () => directory.startRestore(),
      onSnapshot: (items) => directory.applySnapshot(items),
      onChange: (change) => directory.applyChange(change),
    });
    this.rollouts = new SourceFollower({
      ...this.createOptions('rollouts', store.rollouts),
      maxRetryMs: OTHER_RETRY_MS,
      onEra: () => rollouts.startRestore(),
      onSnapshot: (items) => rollouts.applySnapshot(items),
      onChange: (change) => {
        rollouts.applyChange(change);
        log.write('rollout_order', { name: change.name, ...change.value });
      },
    });
    this.evacuations = this.createEvacuationFollower();
    this.shared = new SharedViews(clock, {
      config: {
        follower: this.config,
        formatState: () => options.getConfigVersion()?.toString(),
        isContent: true,
      },
      upstreams: {
        follower: this.upstreams,
        formatState: () => directory.formatState(),
        isContent: true,
      },
      rollouts: { follower: this.rollouts, formatState: () => rollouts.formatState() },
      ...(this.evacuations
        ? {
            evacuations: {
              follower: this.evacuations,
              formatState: () => options.evacuations.formatState(),
            },
          }
        : {}),
    });
    this.server = new ViewServer(this.listFollowers(), options.peerConnections);
  }

  /** Whether all states that requests depend on, besides the configuration, were read. */
  get isLoaded(): boolean {
    return (
      this.upstreams.isLoaded && this.rollouts.isLoaded && (this.evacuations?.isLoaded ?? true)
    );
  }

  /** Whether entries may be missing because of a current or recent store outage. */
  isStoreDisturbed(): boolean {
    return this.upstreams.hasRecentFailure(RECENT_OUTAGE_MS);
  }

  /**
   * Returns the time in milliseconds since the configuration in force was last known to be the newest
   * one.
   */
  getConfigAgeMs(): number {
    return Math.max(this.config.getAgeMs(), this.restoredConfig.getBehindMs());
  }

  /** Learns from a peer which configuration it has in force, and whether the store was restored. */
  handlePeerMessage({ name, store, views }: PeerMessage): void {
    const version = Number(views.config?.[0] || NaN);
    this.restoredConfig.recordPeer(name, Number.isNaN(version) ? undefined : version, store);
    const { era } = this.history;
    if (!store || era === undefined || store[0] <= era) return;
    // The era is taken from the store only, so that no wrong message can change it.
    const nowMs = this.options.clock.monotonicMs();
    const isNew = store[0] !== this.eraRead.era;
    if (!isNew && nowMs - this.eraRead.atMs < ERA_READ_INTERVAL_MS) return;
    this.eraRead = { era: store[0], atMs: nowMs };
    void this.config.confirm();
  }

  /** Stores the progress of an order if the order has not changed. */
  async storeProgress(
    { name, revision }: TrackedOrder,
    progress: RolloutProgress,
  ): Promise<WriteOutcome> {
    // A revision of an earlier era may be that of another write by now.
    if (this.rollouts.stateEra !== this.history.era) return 'refused';
    return this.options.store.putProgress(name, revision, progress);
  }

  startTasks(lifecycle: LifecycleManager): void {
    lifecycle.startLastingTask('hold configuration', (signal) => this.restoredConfig.run(signal));
    for (const [name, follower] of Object.entries(this.listFollowers())) {
      lifecycle.startLastingTask(`follow ${name}`, (signal) => follower.run(signal));
      lifecycle.startLastingTask(`confirm ${name}`, (signal) => follower.keepFresh(signal));
    }
  }

  /** Serves the states to the peers. */
  listen(address: SocketAddress): Promise<void> {
    return this.server.listen(address);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  private listFollowers() {
    const { config, evacuations, rollouts, upstreams } = this;
    return { config, upstreams, rollouts, ...(evacuations ? { evacuations } : {}) };
  }

  private createEvacuationFollower(): SourceFollower<ZoneEvacuation> | undefined {
    const { evacuateMs, evacuations, store } = this.options;
    if (evacuateMs === undefined) return undefined;
    return new SourceFollower({
      ...this.createOptions('evacuations', store.evacuations, evacuateMs),
      maxRetryMs: EVACUATION_RETRY_MS,
      onEra: () => evacuations.startRestore(),
      onSnapshot: (items) => evacuations.applySnapshot(items),
      onChange: (change) => evacuations.applyChange(change),
    });
  }

  private createOptions<T>(
    name: ViewName,
    source: ChangeSource<T>,
    boundMs = this.options.boundMs,
  ) {
    const { clock, peers } = this.options;
    return {
      clock,
      waitMs: POLL_WAIT_MS,
      getKnownEra: () => this.history.era,
      source: new PeerSource({ name, store: source, findProvider: () => peers.findProvider() }),
      shouldLongPoll: () => peers.isWatcher,
      getMaxAgeMs: () => SharedViews.getMaxAgeMs(name, peers.getRank(), boundMs),
    };
  }
}
