import { CrashAttribution } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { LifecycleManager, ReceiveBudget, systemClock } from '@cactusstair/utils';

import { CallerServer } from './callerServer.js';
import { ConfigIndex } from './config/configIndex.js';
import type { RelayConfig } from './config/relayConfig.js';
import { drainCallers } from './gracefulStop.js';
import { RequestMetrics } from './observe/requestMetrics.js';
import { createStatusServer } from './observe/statusServer.js';
import { computeCallerCapacity } from './instanceLimits.js';
import { openWhenFree } from './openWhenFree.js';
import { PeerExchange } from './peers/peerExchange.js';
import type { RelayNodeOptions } from './relayNodeOptions.js';
import type { PeerRecord } from './relayOptions.js';
import { followPeers } from './peers/peerFinder.js';
import { createAnswerParts } from './requests/answerDeliveries.js';
import { createServiceQueues } from './requests/createServiceQueues.js';
import type { Exchange } from './requests/exchange.js';
import type { RelayContext } from './requests/relayContext.js';
import { RequestHandler } from './requests/requestHandler.js';
import { RetryBudgets } from './requests/retryBudgets.js';
import { RolloutRouter } from './rollouts/rolloutRouter.js';
import { createRolloutController } from './rollouts/createRolloutController.js';
import { StoreViews } from './storeViews.js';
import { EngineEstimators } from './upstreams/engineEstimators.js';
import { CrashDetector } from './upstreams/crashDetector.js';
import type { Upstream } from './upstreams/upstream.js';
import { UpstreamAccess } from './upstreams/upstreamAccess.js';
import type { UpstreamCapacities } from './upstreams/upstreamCapacities.js';
import type { UpstreamDirectory } from './upstreams/upstreamDirectory.js';
import { ZoneReachability } from './upstreams/zoneReachability.js';

/** Subtracted from the bound on revoked keys for the time between the check and the run. */
const KEY_AGE_MARGIN_MS = 500;
const ABSENCE_AGE_MARGIN_MS = 200;

/** One instance: relays callers' requests to upstreams by the configuration in the store. */
export class RelayNode {
  private readonly clock: Clock;

  private readonly lifecycle: LifecycleManager;

  private readonly metrics = new RequestMetrics();

  private readonly receiveBudget: ReceiveBudget;

  private readonly budgets: RetryBudgets;

  private readonly directory: UpstreamDirectory;

  private readonly access: UpstreamAccess;

  private readonly engines: EngineEstimators;

  private readonly context: RelayContext;

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
    const { bounds, log, store } = options;
    this.clock = options.clock ?? systemClock;
    this.engines = new EngineEstimators(this.clock);
    const capacity = computeCallerCapacity(options.limits ?? {});
    this.receiveBudget = new ReceiveBudget({ clock: this.clock, maxBytes: capacity.receiveBytes });
    // All ports share the memory for what is received.
    const guard = { clock: this.clock, receiveBudget: this.receiveBudget };
    this.self = {
      ...options.peers,
      name: options.name,
      zone: options.zone,
      capacity: options.capacity,
    };
    this.lifecycle = new LifecycleManager((task, error) => this.recordFault(task, error as Error));
    this.budgets = new RetryBudgets(this.clock, bounds, () => this.peers.countInstances());
    this.crashes = new CrashAttribution({
      clock: this.clock,
      onCause: ({ traits, crashCount }) => log.write('crash_cause', { traits, crashCount }),
    });
    this.access = new UpstreamAccess({
      clock: this.clock,
      bounds,
      log,
      isStoreDisturbed: () => this.views.isStoreDisturbed(),
      getStoreRestoredAgeMs: () => this.views.upstreams.getRestoredAgeMs(),
      getGroup: () => this.peers.describeGroup(),
      getInstances: () => this.peers.roster.describe(),
      isListRead: () => this.views.upstreams.isLoaded,
      findService: (name) => this.config?.findService(name),
      onListChange: (service) => this.context.queues.handleListChange(service),
    });
    this.directory = this.access.directory;
    this.capacities = this.access.capacities;
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
      limits: this.access.limits,
      listViews: () => this.views.shared.listStates(),
      onPeerView: (name, state, since) => this.views.shared.applyPeerState(name, state, since),
      onLoads: () => this.context.queues.offerReportedPlaces(),
      getStoreEra: () => this.views.history.describe(),
      onMessage: (message) => this.views.handlePeerMessage(message),
      onEvent: (event, name) => log.write(event, { peer: name }),
    });
    this.views = new StoreViews({
      clock: this.clock,
      store,
      peers: this.peers,
      directory: this.directory,
      rollouts: this.rollouts,
      evacuations: this.access.evacuations,
      evacuateMs: bounds.evacuateMs,
      // Covers both a changed configuration and a draining upstream, so the smaller bound applies.
      boundMs: Math.min(bounds.configApplyMs, bounds.drainMs),
      getConfigVersion: () => this.config?.config.version,
      hasHeardAll: () => this.peers.roster.isListed && this.peers.hasHeardAll,
      onConfig: (config) => this.applyConfig(config),
      log,
      peerConnections: { ...guard, maxConnections: capacity.maxPeers },
    });
    this.context = this.createContext();
    this.handler = new RequestHandler({
      context: this.context,
      bodyBytes: capacity.bodyBytes,
      getConfigAgeMs: () => this.views.getConfigAgeMs(),
      confirmConfig: () => this.views.config.confirm(),
      maxKeyAgeMs: this.maxKeyAgeMs,
      maxAbsenceAgeMs: bounds.configApplyMs - ABSENCE_AGE_MARGIN_MS,
      onEnd: (exchange) => this.recordEnd(exchange),
    });
    this.callerServer = new CallerServer(
      { ...guard, maxConnections: capacity.maxCallers },
      (incoming, outgoing) => {
        this.handler.handle(incoming, outgoing).catch((error: unknown) => {
          this.recordFault('request', error as Error);
        });
      },
    );
    this.readinessServer = createStatusServer({
      readinessPath: options.readinessPath,
      isReady: () => this.isReady,
      formatMetrics: () => this.formatMetrics(),
      connections: { ...guard, maxConnections: capacity.maxStatus },
    });
  }

  /** Whether the instance accepts new connections from callers. */
  get isReady(): boolean {
    return (
      this.isListening &&
      this.stopping === undefined &&
      this.config !== undefined &&
      this.views.isLoaded &&
      (!this.config.needsKeys || this.views.getConfigAgeMs() < this.maxKeyAgeMs)
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
      followPeers(
        {
          clock: this.clock,
          self: this.self,
          announce: (record) => options.store.announce(record),
          source: options.store.peers,
          onPeer: (record) => this.peers.addPeer(record),
          onListed: () => this.peers.roster.recordListed(),
          shouldListAgain: () => this.isInstanceUnknown(),
          getStoreEra: () => this.views.history.era,
        },
        signal,
      ),
    );
    lifecycle.startLastingTask('follow cold upstreams', (signal) => this.access.run(signal));
    lifecycle.startLastingTask('watch capacities', (signal) => this.capacities.watch(signal));
    lifecycle.startLastingTask('drive rollouts', (signal) =>
      createRolloutController({
        clock: this.clock,
        router: this.rollouts,
        peers: this.peers,
        directory: this.directory,
        storeProgress: (tracked, progress) => this.views.storeProgress(tracked, progress),
        log: options.log,
      }).run(signal),
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
    this.context.queues.close();
    this.peers.close();
  }

  private createContext(): RelayContext {
    const basis = {
      clock: this.clock,
      directory: this.directory,
      notices: this.access.notices,
      reachability: new ZoneReachability(this.clock),
      getConfig: () => this.config,
    };
    return {
      ...basis,
      queues: createServiceQueues({
        ...basis,
        countInstances: () => this.peers.countInstances(),
      }),
      zone: this.options.zone,
      dialect: this.options.dialect,
      metrics: this.metrics,
      engines: this.engines,
      capacities: this.capacities,
      rollouts: this.rollouts,
      crashes: this.crashes,
      ...createAnswerParts(this.clock),
      crashDetector: new CrashDetector(this.clock, (upstream) => this.recordCrash(upstream)),
      onLoadGrowth: (upstream) => this.peers.notifyLoadGrowth(upstream),
      areKeysConfirmed: () => this.views.getConfigAgeMs() <= this.maxKeyAgeMs,
      getBudget: (service) => this.budgets.get(service),
    };
  }

  /** Whether shares of cold upstreams depend on an instance whose name is not known. */
  private isInstanceUnknown(): boolean {
    const { count, others } = this.peers.roster.describe();
    return this.config?.hasWarmups === true && count > others.length + 1;
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

  private recordCrash(upstream: Upstream): void {
    const { id, record } = upstream;
    upstream.recordDown(true);
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
      callers: this.callerServer,
      bodies: this.handler.bodyBudget,
      received: this.receiveBudget,
      configVersion: this.config?.config.version ?? 0,
      configAgeSeconds: this.views.getConfigAgeMs() / 1000,
      upstreams: this.directory.listAll().length,
      coldUpstreams: this.access.cold.count,
      evacuatedZones: this.access.evacuations.listZones(),
      capacityByUpstream: this.capacities.listLimits(),
      peers: this.peers.listLiveInstances().length,
      droppedLogLines: this.options.log.dropped,
      faults: this.faults,
      waiting: this.context.queues.countWaiting(),
    });
  }
}
