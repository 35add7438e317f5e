import { CrashAttribution, UpstreamLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { LifecycleManager, systemClock } from '@cactusstair/utils';

import { CallerServer } from './callerServer.js';
import { ConfigIndex } from './config/configIndex.js';
import type { RelayConfig } from './config/relayConfig.js';
import { drainCallers } from './gracefulStop.js';
import type { EventLog } from './observe/eventLog.js';
import { RequestMetrics } from './observe/requestMetrics.js';
import { createStatusServer } from './observe/statusServer.js';
import { openWhenFree } from './openWhenFree.js';
import { PeerExchange } from './peers/peerExchange.js';
import { findPeers } from './peers/peerFinder.js';
import type { PeerRecord, RelayBounds, SocketAddress } from './relayOptions.js';
import type { RelayStore } from './relayStore.js';
import type { Exchange } from './requests/exchange.js';
import type { RelayContext } from './requests/relayContext.js';
import type { Dialect } from './requests/relayRequest.js';
import { RequestHandler } from './requests/requestHandler.js';
import { RetryBudgets } from './requests/retryBudgets.js';
import { StallMonitor } from './requests/stallMonitor.js';
import { countOldVersionCalls } from './rollouts/oldVersionCalls.js';
import type { TrackedOrder } from './rollouts/rolloutRouter.js';
import { formatVersionKey, RolloutRouter } from './rollouts/rolloutRouter.js';
import { RolloutController } from './rollouts/rolloutController.js';
import { StoreViews } from './storeViews.js';
import { AnswerMemory } from './upstreams/answerMemory.js';
import { EngineEstimators } from './upstreams/engineEstimators.js';
import { CrashDetector } from './upstreams/crashDetector.js';
import type { Upstream } from './upstreams/upstream.js';
import { UpstreamCapacities } from './upstreams/upstreamCapacities.js';
import { UpstreamDirectory } from './upstreams/upstreamDirectory.js';
import type { UpstreamEvent } from './upstreams/upstreamDirectory.js';
import type { UpstreamRecord } from './upstreams/upstreamRecord.js';
import { UpstreamNotices } from './upstreams/upstreamNotices.js';
import { ZoneReachability } from './upstreams/zoneReachability.js';

/** Options of `RelayNode`. */
export interface RelayNodeOptions {
  name: string;
  zone: string;
  /** Size of the machine relative to others, for example processor share times link rate. */
  capacity: number;
  callers: SocketAddress;
  /** Address for readiness checks, which are answered with 200 while ready, else 503. */
  readiness: SocketAddress;
  readinessPath: string;
  /** Address for other instances: UDP for messages, TCP for reads of store state. */
  peers: SocketAddress;
  /** Hosts of other instances, used until the store has been read. */
  seedHosts: readonly string[];
  bounds: RelayBounds;
  store: RelayStore;
  dialect: Dialect;
  log: EventLog;
  clock?: Clock;
}

/** Subtracted from the bound on revoked keys for the time between the check and the run. */
const KEY_AGE_MARGIN_MS = 500;
const ABSENCE_AGE_MARGIN_MS = 200;

/** One instance: relays callers' requests to upstreams by the configuration in the store. */
export class RelayNode {
  private readonly clock: Clock;

  private readonly lifecycle: LifecycleManager;

  private readonly metrics = new RequestMetrics();

  private readonly budgets: RetryBudgets;

  private readonly directory: UpstreamDirectory;

  private readonly limits: UpstreamLimits;

  private readonly notices: UpstreamNotices;

  private readonly engines = new EngineEstimators();

  private readonly capacities: UpstreamCapacities;

  private readonly rollouts: RolloutRouter;

  private readonly crashes: CrashAttribution;

  private readonly peers: PeerExchange;

  private readonly views: StoreViews;

  private readonly handler: RequestHandler;

  private readonly callerServer: CallerServer;

  private readonly readinessServer: CallerServer;

  private readonly self: PeerRecord;

  private config: ConfigIndex | undefined;

  /** Whether the instance has opened all its addresses. */
  private isListening = false;

  private stopping: Promise<void> | undefined;

  private faults = 0;

  constructor(private readonly options: RelayNodeOptions) {
    const { bounds, capacity, log, name, peers, store, zone } = options;
    this.clock = options.clock ?? systemClock;
    this.self = { ...peers, name, zone, capacity };
    this.lifecycle = new LifecycleManager((task, error) => this.recordFault(task, error as Error));
    this.budgets = new RetryBudgets(this.clock, bounds, () => this.peers.countInstances());
    this.crashes = new CrashAttribution({
      clock: this.clock,
      onCause: ({ traits, crashCount }) => log.write('crash_cause', { traits, crashCount }),
    });
    this.directory = new UpstreamDirectory({
      clock: this.clock,
      isStoreDisturbed: () => this.views.isStoreDisturbed(),
      getStoreRestoredAgeMs: () => this.views.upstreams.getRestoredAgeMs(),
      isLeaving: (record) => this.notices.isLeaving(record),
      onEvent: (event, record) => this.handleUpstreamEvent(event, record),
    });
    this.capacities = new UpstreamCapacities({
      clock: this.clock,
      listUpstreams: () => this.directory.listAll(),
      onChange: (change) => log.write('upstream_capacity', { ...change }),
    });
    this.limits = new UpstreamLimits({
      clock: this.clock,
      getGroup: () => this.peers.describeGroup(),
      findUpstream: (id) => this.describeLimited(id),
    });
    this.notices = new UpstreamNotices({
      clock: this.clock,
      limits: this.limits,
      onEvent: (event, fields) => log.write(`upstream_${event}`, fields),
    });
    this.rollouts = new RolloutRouter({
      clock: this.clock,
      sessionTtlMs: bounds.sessionTtlMs,
      canaryShare: bounds.canaryShare,
    });
    this.peers = new PeerExchange({
      clock: this.clock,
      self: this.self,
      directory: this.directory,
      engines: this.engines,
      capacities: this.capacities,
      rollouts: this.rollouts,
      crashes: this.crashes,
      limits: this.limits,
      listViews: () => this.views.shared.listStates(),
      onPeerView: (view, state, since) => this.views.shared.applyPeerState(view, state, since),
      onEvent: (event, peer) => log.write(event, { peer }),
    });
    this.views = new StoreViews({
      clock: this.clock,
      store,
      peers: this.peers,
      directory: this.directory,
      rollouts: this.rollouts,
      // Covers both a changed configuration and a draining upstream, so the smaller bound applies.
      boundMs: Math.min(bounds.configApplyMs, bounds.drainMs),
      getConfigVersion: () => this.config?.config.version,
      onConfig: (config) => this.applyConfig(config),
      log,
    });
    this.handler = new RequestHandler({
      context: this.createContext(),
      getConfigAgeMs: () => this.views.config.getAgeMs(),
      confirmConfig: () => this.views.config.confirm(),
      maxKeyAgeMs: this.maxKeyAgeMs,
      maxAbsenceAgeMs: bounds.configApplyMs - ABSENCE_AGE_MARGIN_MS,
      onEnd: (exchange) => this.recordEnd(exchange),
    });
    this.callerServer = new CallerServer((incoming, outgoing) => {
      this.handler.handle(incoming, outgoing).catch((error: unknown) => {
        this.recordFault('request', error as Error);
      });
    });
    this.readinessServer = createStatusServer({
      readinessPath: options.readinessPath,
      isReady: () => this.isReady,
      formatMetrics: () => this.formatMetrics(),
    });
  }

  /** Whether the instance accepts new connections from callers. */
  get isReady(): boolean {
    return (
      this.isListening &&
      this.stopping === undefined &&
      this.config !== undefined &&
      this.views.upstreams.isLoaded &&
      this.views.rollouts.isLoaded &&
      (!this.config.needsKeys || this.views.config.getAgeMs() < this.maxKeyAgeMs)
    );
  }

  /**
   * Counts and logs an error that no part of the program expected. The requests that it did not
   * meet go on.
   *
   * @param where the part of the program that was running
   */
  recordFault(where: string, error: Error): void {
    this.faults += 1;
    this.options.log.write('fault', { where, error: error.stack });
  }

  async start(): Promise<void> {
    const { options, lifecycle } = this;
    for (const host of options.seedHosts) {
      this.peers.addAddress({ host, port: options.peers.port });
    }
    this.views.startTasks(lifecycle);
    await this.openListeners();
    lifecycle.startLastingTask('exchange with peers', (signal) => this.peers.run(signal));
    lifecycle.startLastingTask('find peers', (signal) =>
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
    lifecycle.startLastingTask('watch capacities', (signal) => this.capacities.watch(signal));
    lifecycle.startLastingTask('drive rollouts', (signal) =>
      this.createRolloutController().run(signal),
    );
    this.isListening = true;
    options.log.write('started', { zone: options.zone });
  }

  private openListeners(): Promise<void> {
    const { callers, log, peers, readiness } = this.options;
    const listeners = [
      () => this.peers.start(),
      () => this.views.listen(peers),
      () => this.readinessServer.listen(readiness),
      () => this.callerServer.listen(callers),
    ];
    return openWhenFree(listeners, {
      clock: this.clock,
      signal: this.lifecycle.signal,
      onTaken: (message) => log.write('address_taken', { message }),
    });
  }

  /**
   * Shuts down gracefully: reports unready, then refuses new connections, and returns when the
   * requests in flight have ended or the grace period is over. Repeated calls return the same
   * promise.
   */
  stop(): Promise<void> {
    this.stopping ??= this.drain();
    return this.stopping;
  }

  private async drain(): Promise<void> {
    const { clock, callerServer, handler, options } = this;
    options.log.write('stopping', { open: callerServer.openCount });
    this.peers.startLeaving();
    const { stopGraceMs } = options.bounds;
    // Before it listens, the instance has accepted nothing that it would have to finish.
    if (this.isListening) await drainCallers({ clock, handler, callerServer, stopGraceMs });
    options.log.write('stopped', { open: callerServer.openCount });
    options.log.flush();
  }

  private get maxKeyAgeMs(): number {
    const { bounds } = this.options;
    return bounds.isRevocationStrict ? bounds.revokeMs - KEY_AGE_MARGIN_MS : Infinity;
  }

  /** Ends all tasks and connections immediately. */
  async close(): Promise<void> {
    await this.callerServer.close();
    await this.readinessServer.close();
    await this.views.close();
    await this.lifecycle.close();
    this.peers.close();
  }

  private createContext(): RelayContext {
    return {
      clock: this.clock,
      zone: this.options.zone,
      dialect: this.options.dialect,
      directory: this.directory,
      notices: this.notices,
      reachability: new ZoneReachability(this.clock),
      engines: this.engines,
      capacities: this.capacities,
      rollouts: this.rollouts,
      crashes: this.crashes,
      stallMonitor: new StallMonitor(this.clock),
      answerMemory: new AnswerMemory(),
      crashDetector: new CrashDetector((upstream) => this.recordCrash(upstream)),
      onLoadGrowth: (upstream) => this.peers.notifyLoadGrowth(upstream),
      getConfig: () => this.config,
      getBudget: (service) => this.budgets.get(service),
    };
  }

  private createRolloutController(): RolloutController {
    return new RolloutController({
      clock: this.clock,
      router: this.rollouts,
      listEvidence: () => this.peers.listEvidence(),
      countOldVersionCalls: (service, targetVersion) =>
        countOldVersionCalls(this.directory, this.peers, { service, targetVersion }),
      getRank: () => this.peers.getRank(),
      storeProgress: (tracked: TrackedOrder, progress) =>
        this.options.store.putProgress(tracked.name, tracked.revision, progress),
      onEvent: (event, fields) => this.options.log.write(event, fields),
    });
  }

  private applyConfig(config: RelayConfig): void {
    if (this.config && config.version <= this.config.config.version) return;
    this.config = new ConfigIndex(config);
    this.callerServer.applyLimits(config.limits);
    this.options.log.write('config_applied', {
      version: config.version,
      routes: config.routes.length,
    });
  }

  private handleUpstreamEvent(event: UpstreamEvent, record: UpstreamRecord): void {
    const { id, service, version, zone } = record;
    this.options.log.write(`upstream_${event}`, { upstream: id, service, version, zone });
    if (event === 'restarted') this.notices.forget(record);
    if (event === 'restarted' || event === 'gone') this.capacities.forget(record);
    this.limits.refresh();
  }

  /** Describes an upstream whose limit the instances divide; undefined if it gets no requests. */
  private describeLimited(id: string): { pool: string; zone: string } | undefined {
    const record = this.directory.find(id)?.record;
    if (!record || record.isDraining || this.notices.isLeaving(record)) return undefined;
    return { pool: formatVersionKey(record.service, record.version), zone: record.zone };
  }

  private recordCrash(upstream: Upstream): void {
    const { id, record } = upstream;
    upstream.recordDown();
    const suspects = this.crashes.recordCrash(id);
    if (suspects.length === 0) return;
    this.options.log.write('upstream_crashed', {
      upstream: id,
      service: record.service,
      version: record.version,
      zone: record.zone,
      suspects: suspects.length,
    });
    this.peers.notifyCrash();
  }

  private recordEnd(exchange: Exchange): void {
    this.metrics.record(exchange);
    this.options.log.write('request', exchange.describe());
  }

  private formatMetrics(): Promise<string> {
    return this.metrics.format({
      openRequests: this.callerServer.openCount,
      configVersion: this.config?.config.version ?? 0,
      configAgeSeconds: this.views.config.getAgeMs() / 1000,
      upstreams: this.directory.listAll().length,
      capacityByUpstream: this.capacities.listLimits(),
      peers: this.peers.listLiveInstances().length,
      droppedLogLines: this.options.log.dropped,
      faults: this.faults,
    });
  }
}
