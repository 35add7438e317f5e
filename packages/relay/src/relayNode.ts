import { CrashCounter } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { LifecycleManager, systemClock } from '@cactusstair/utils';

import { CallerServer } from './callerServer.js';
import { ConfigIndex } from './config/configIndex.js';
import type { RelayConfig } from './config/relayConfig.js';
import type { SourceChange, SourceItem } from './follow/changeSource.js';
import { SourceFollower } from './follow/sourceFollower.js';
import type { EventLog } from './observe/eventLog.js';
import { RequestMetrics } from './observe/requestMetrics.js';
import { createStatusServer } from './observe/statusServer.js';
import { PeerExchange } from './peers/peerExchange.js';
import { findPeers } from './peers/peerFinder.js';
import type { ViewName } from './peers/peerMessage.js';
import { SharedViews } from './peers/sharedViews.js';
import type { PeerRecord, RelayBounds, SocketAddress } from './relayOptions.js';
import type { RelayStore } from './relayStore.js';
import type { Exchange } from './requests/exchange.js';
import type { RelayContext } from './requests/relayContext.js';
import type { Dialect } from './requests/relayRequest.js';
import { RequestHandler } from './requests/requestHandler.js';
import { RetryBudgets } from './requests/retryBudgets.js';
import { StallWatch } from './requests/stallWatch.js';
import type { TrackedOrder } from './rollouts/rolloutBoard.js';
import { RolloutBoard } from './rollouts/rolloutBoard.js';
import { RolloutDriver } from './rollouts/rolloutDriver.js';
import type { RolloutOrder } from './rollouts/rolloutOrder.js';
import { UpstreamDirectory } from './upstreams/upstreamDirectory.js';
import type { UpstreamRecord } from './upstreams/upstreamRecord.js';
import { ZoneReachability } from './upstreams/zoneReachability.js';

/** Options of `RelayNode`. */
export interface RelayNodeOptions {
  name: string;
  zone: string;
  /** Size of the machine relative to others, for example processor share times link rate. */
  capacity: number;
  callers: SocketAddress;
  /** Address of readiness checks: 200 while ready, else 503. */
  readiness: SocketAddress;
  readinessPath: string;
  /** Address for the datagrams between instances. */
  peers: SocketAddress;
  /** Hosts at which instances may be found before the store was read. */
  seedHosts: readonly string[];
  bounds: RelayBounds;
  store: RelayStore;
  dialect: Dialect;
  log: EventLog;
  clock?: Clock;
}

/** Polls for changes wait this long; the bound of the store is 30 s, and each poll has its price. */
const POLL_WAIT_MS = 29_000;
// Each change costs a call of every instance; both pauses are small against the bounds of 2 s on
// configurations and leaving upstreams.
const CONFIG_SETTLE_MS = 100;
const UPSTREAM_SETTLE_MS = 250;
// While the store is away only the configuration is asked for often; its return wakes the others.
const OTHER_RETRY_MS = 2000;
/** Time kept back from the bound on revoked keys for what is between the check and the run. */
const KEY_AGE_MARGIN_MS = 500;
const ABSENCE_AGE_MARGIN_MS = 200;
/** After the store returned, entries may still be missing for this long. */
const STORE_DISTURBED_MS = 3000;
// The platform stops sending connections two seconds after it has seen the instance unready. Later
// ones, and further requests on kept ones, might not end within the grace.
const CLOSE_AFTER_MS = 2500;
/** Time kept back from the grace for the end of the process. */
const STOP_MARGIN_MS = 500;
const STOP_CHECK_MS = 50;

/** One entry instance that relays requests by the platform's configuration. */
export class RelayNode {
  private readonly clock: Clock;

  private readonly lifecycle: LifecycleManager;

  private readonly metrics = new RequestMetrics();

  private readonly budgets: RetryBudgets;

  private readonly directory: UpstreamDirectory;

  private readonly rollouts: RolloutBoard;

  private readonly crashes: CrashCounter;

  private readonly configFollower: SourceFollower<RelayConfig>;

  private readonly upstreamFollower: SourceFollower<UpstreamRecord>;

  private readonly rolloutFollower: SourceFollower<RolloutOrder>;

  private readonly peers: PeerExchange;

  private readonly callerServer: CallerServer;

  private readonly readinessServer: CallerServer;

  private readonly self: PeerRecord;

  private config: ConfigIndex | undefined;

  private isStopping = false;

  constructor(private readonly options: RelayNodeOptions) {
    const { bounds, log, store } = options;
    this.clock = options.clock ?? systemClock;
    this.self = {
      ...options.peers,
      name: options.name,
      zone: options.zone,
      capacity: options.capacity,
    };
    this.lifecycle = new LifecycleManager((task, error) =>
      log.write('task_failed', { task, error: (error as Error).stack }),
    );
    this.budgets = new RetryBudgets(this.clock, bounds, () => this.peers.countInstances());
    this.crashes = new CrashCounter({ clock: this.clock });
    this.directory = new UpstreamDirectory({
      clock: this.clock,
      isStoreDisturbed: () => this.upstreamFollower.isDisturbed(STORE_DISTURBED_MS),
      getStoreRestoredAgeMs: () => this.upstreamFollower.getRestoredAgeMs(),
      onEvent: (event, record) =>
        log.write(`upstream_${event}`, {
          upstream: record.id,
          service: record.service,
          version: record.version,
          zone: record.zone,
        }),
    });
    this.rollouts = new RolloutBoard({
      clock: this.clock,
      sessionTtlMs: bounds.sessionTtlMs,
      canaryShare: bounds.canaryShare,
    });
    this.peers = new PeerExchange({
      clock: this.clock,
      self: this.self,
      directory: this.directory,
      rollouts: this.rollouts,
      crashes: this.crashes,
      listViews: () => views.listStates(),
      onPeerView: (name, state, since) => views.applyPeerState(name, state, since),
      onEvent: (event, name) => log.write(event, { peer: name }),
    });
    this.configFollower = new SourceFollower({
      clock: this.clock,
      source: store.config,
      waitMs: POLL_WAIT_MS,
      settleMs: CONFIG_SETTLE_MS,
      getMaxAgeMs: () => this.getMaxAgeMs('config'),
      onSnapshot: (items) => items.forEach((item) => this.applyConfig(item)),
      onChange: (change) => this.applyConfig(change),
      onAvailability: (isAvailable, reason) => {
        log.write('store', { state: isAvailable ? 'available' : 'unavailable', reason });
        if (!isAvailable) return;
        this.upstreamFollower.retryNow();
        this.rolloutFollower.retryNow();
      },
    });
    this.upstreamFollower = new SourceFollower({
      clock: this.clock,
      source: store.upstreams,
      waitMs: POLL_WAIT_MS,
      settleMs: UPSTREAM_SETTLE_MS,
      maxRetryMs: OTHER_RETRY_MS,
      getMaxAgeMs: () => this.getMaxAgeMs('upstreams'),
      onSnapshot: (items) => this.directory.applySnapshot(items),
      onChange: (change) => this.directory.applyChange(change),
    });
    this.rolloutFollower = new SourceFollower({
      clock: this.clock,
      source: store.rollouts,
      waitMs: POLL_WAIT_MS,
      maxRetryMs: OTHER_RETRY_MS,
      getMaxAgeMs: () => this.getMaxAgeMs('rollouts'),
      onSnapshot: (items) => this.rollouts.applySnapshot(items),
      onChange: (change) => {
        this.rollouts.applyChange(change);
        log.write('rollout_order', { name: change.name, ...change.value });
      },
    });
    const views = new SharedViews(this.clock, {
      config: {
        follower: this.configFollower,
        formatState: () => String(this.config?.config.version ?? ''),
      },
      upstreams: {
        follower: this.upstreamFollower,
        formatState: () => this.directory.formatState(),
      },
      rollouts: { follower: this.rolloutFollower, formatState: () => this.rollouts.formatState() },
    });
    const handler = new RequestHandler({
      context: this.createContext(),
      getConfigAgeMs: () => this.configFollower.getAgeMs(),
      confirmConfig: () => this.configFollower.confirm(),
      maxKeyAgeMs: bounds.isRevocationStrict ? bounds.revokeMs - KEY_AGE_MARGIN_MS : Infinity,
      maxAbsenceAgeMs: bounds.configApplyMs - ABSENCE_AGE_MARGIN_MS,
      isStopping: () => this.isStopping,
      onEnd: (exchange) => this.recordEnd(exchange),
    });
    this.callerServer = new CallerServer((incoming, outgoing) => {
      handler.handle(incoming, outgoing).catch((error: unknown) => {
        log.write('request_fault', { error: (error as Error).stack });
      });
    });
    this.readinessServer = createStatusServer({
      readinessPath: options.readinessPath,
      isReady: () => this.isReady,
      formatMetrics: () => this.formatMetrics(),
    });
  }

  /** Whether callers should send new connections here. */
  get isReady(): boolean {
    return (
      !this.isStopping &&
      this.config !== undefined &&
      this.upstreamFollower.isLoaded &&
      this.rolloutFollower.isLoaded &&
      (!this.config.needsKeys || this.configFollower.getAgeMs() < this.maxReadyAgeMs)
    );
  }

  async start(): Promise<void> {
    const { options, lifecycle } = this;
    for (const host of options.seedHosts) {
      this.peers.addAddress({ host, port: options.peers.port });
    }
    lifecycle.startTask('follow configuration', (signal) => this.configFollower.run(signal));
    lifecycle.startTask('follow upstreams', (signal) => this.upstreamFollower.run(signal));
    lifecycle.startTask('follow rollouts', (signal) => this.rolloutFollower.run(signal));
    lifecycle.startTask('confirm configuration', (signal) => this.configFollower.keepFresh(signal));
    lifecycle.startTask('confirm upstreams', (signal) => this.upstreamFollower.keepFresh(signal));
    lifecycle.startTask('confirm rollouts', (signal) => this.rolloutFollower.keepFresh(signal));
    await this.peers.start();
    await this.readinessServer.listen(options.readiness);
    await this.callerServer.listen(options.callers);
    lifecycle.startTask('exchange with peers', (signal) => this.peers.run(signal));
    lifecycle.startTask('find peers', (signal) =>
      findPeers(
        {
          clock: this.clock,
          self: this.self,
          announce: (record) => options.store.announce(record),
          source: options.store.peers,
          onPeer: (record) => this.peers.addPeer(record),
        },
        signal,
      ),
    );
    lifecycle.startTask('drive rollouts', (signal) => this.createDriver().run(signal));
    options.log.write('started', { zone: options.zone });
  }

  /** Stops after the requests in flight: unready first, then no new connections, then the end. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const startedMs = this.clock.monotonicMs();
    this.options.log.write('stopping', { open: this.callerServer.openCount });
    this.peers.startLeaving();
    const untilMs = startedMs + this.options.bounds.stopGraceMs - STOP_MARGIN_MS;
    while (this.clock.monotonicMs() < untilMs) {
      await this.clock.sleep(STOP_CHECK_MS);
      const elapsedMs = this.clock.monotonicMs() - startedMs;
      if (elapsedMs < CLOSE_AFTER_MS) continue;
      this.callerServer.startClosing();
      if (this.callerServer.connectionCount === 0) break;
    }
    this.options.log.write('stopped', { open: this.callerServer.openCount });
    this.options.log.flush();
  }

  private get maxReadyAgeMs(): number {
    const { bounds } = this.options;
    return bounds.isRevocationStrict ? bounds.revokeMs - KEY_AGE_MARGIN_MS : Infinity;
  }

  /** Ends all tasks and connections at once. */
  async close(): Promise<void> {
    await this.callerServer.close();
    await this.readinessServer.close();
    await this.lifecycle.close();
    this.peers.close();
  }

  private getMaxAgeMs(name: ViewName): number {
    const { configApplyMs, drainMs } = this.options.bounds;
    return SharedViews.getMaxAgeMs(name, this.peers.getRank(), Math.min(configApplyMs, drainMs));
  }

  private createContext(): RelayContext {
    return {
      clock: this.clock,
      zone: this.options.zone,
      dialect: this.options.dialect,
      directory: this.directory,
      reachability: new ZoneReachability(this.clock),
      rollouts: this.rollouts,
      crashes: this.crashes,
      stalls: new StallWatch(this.clock),
      getConfig: () => this.config,
      getBudget: (service) => this.budgets.get(service),
    };
  }

  private createDriver(): RolloutDriver {
    return new RolloutDriver({
      clock: this.clock,
      board: this.rollouts,
      listEvidence: () => this.peers.listEvidence(),
      countOldCalls: (service, targetVersion) => this.countOldCalls(service, targetVersion),
      getRank: () => this.peers.getRank(),
      store: (tracked: TrackedOrder, progress) =>
        this.options.store.putProgress(tracked.name, tracked.revision, progress),
      onEvent: (event, fields) => this.options.log.write(event, fields),
    });
  }

  private countOldCalls(service: string, targetVersion: string): number {
    let count = 0;
    for (const upstream of this.directory.listAll()) {
      const { record } = upstream;
      if (record.service !== service || record.version === targetVersion) continue;
      count += upstream.calls.size + this.peers.countPeerCalls(record.id);
    }
    return count;
  }

  private applyConfig(item: SourceItem<RelayConfig> | SourceChange<RelayConfig>): void {
    if (!item.value || ('isDeleted' in item && item.isDeleted)) return;
    if (this.config && item.value.version <= this.config.config.version) return;
    this.config = new ConfigIndex(item.value);
    this.callerServer.applyLimits(item.value.limits);
    this.options.log.write('config_applied', {
      version: item.value.version,
      routes: item.value.routes.length,
    });
  }

  private recordEnd(exchange: Exchange): void {
    this.metrics.record(exchange);
    this.options.log.write('request', {
      id: exchange.request?.id,
      route: exchange.route?.name,
      workspace: exchange.workspace?.name,
      end: exchange.end ?? 'cancelled',
      status: exchange.status,
      durationMs: Math.round(exchange.elapsedMs),
      steps: exchange.steps,
    });
  }

  private formatMetrics(): Promise<string> {
    return this.metrics.format({
      openRequests: this.callerServer.openCount,
      configVersion: this.config?.config.version ?? 0,
      configAgeSeconds: this.configFollower.getAgeMs() / 1000,
      upstreams: this.directory.listAll().length,
      peers: this.peers.listLiving().length,
      droppedLogLines: this.options.log.dropped,
    });
  }
}
