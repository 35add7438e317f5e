import type { Failure } from '@cactusstair/protocol';
import { createFailure, OperatorService, PeerService } from '@cactusstair/protocol';
import {
  CascadePolicy,
  CrashAttribution,
  CrashQuarantine,
  UpstreamLimits,
  VersionStatsRecorder,
} from '@cactusstair/routing';
import type { Logger } from '@cactusstair/utils';
import {
  createLogger,
  createRandom,
  Invariants,
  LifecycleManager,
  systemClock,
} from '@cactusstair/utils';
import { Registry } from 'prom-client';

import { CallerServer } from './callers/callerServer.js';
import { Coordination } from './coordination.js';
import {
  CertificateFiles,
  createChannelCredentials,
  createServerCredentials,
} from './credentials.js';
import { GrpcServer } from './grpcServer.js';
import { ConfigEditor } from './operators/configEditor.js';
import { createOperatorService } from './operators/operatorService.js';
import { EntryMetrics } from './monitoring/entryMetrics.js';
import { MonitoringServer } from './monitoring/monitoringServer.js';
import { ConfigFeed } from './peers/configFeed.js';
import { EvidenceCollector } from './peers/evidenceCollector.js';
import { PeerClients } from './peers/peerClients.js';
import { createPeerService } from './peers/peerService.js';
import { createRequestHandlers } from './requests/requestHandlers.js';
import { RolloutController } from './rollouts/rolloutController.js';
import { RolloutEditor } from './rollouts/rolloutEditor.js';
import type { EntrySettings } from './settings.js';
import { fetchLeavingInstances } from './upstreams/instanceList.js';
import { UpstreamDirectory } from './upstreams/upstreamDirectory.js';

type InstanceState = 'starting' | 'serving' | 'stopping';

const GRPC_CLOSE_GRACE_MS = 2000;
const DRAIN_POLL_MS = 20;
const INSTANCE_LIST_TIMEOUT_MS = 1000;

/**
 * An entry instance: the process that serves callers and forwards their requests to upstreams.
 *
 * All instances run the same program; none has a fixed role.
 */
export class EntryInstance {
  private state: InstanceState = 'starting';

  private refusesRequests = false;

  private readonly clock = systemClock;

  private readonly random = createRandom(Date.now() % 2 ** 31);

  private readonly incarnation = Date.now();

  private readonly logger: Logger;

  private readonly registry = new Registry();

  private readonly metrics = new EntryMetrics(this.registry);

  private readonly invariants: Invariants;

  /** Tasks and connections that stay in use until the end of a graceful shutdown. */
  private readonly lifecycle: LifecycleManager;

  private readonly certificates: CertificateFiles | undefined;

  private readonly peerClients: PeerClients;

  private readonly coordination: Coordination;

  private readonly versionStats: VersionStatsRecorder;

  private readonly cascades: CascadePolicy;

  private readonly quarantine = new CrashQuarantine({ clock: this.clock });

  private readonly crashes = new CrashAttribution({
    clock: this.clock,
    // A crash is proved by a new incarnation, so a few tell the cause also right after a start.
    minHistoryMs: 0,
    onCause: ({ traits, crashCount }) =>
      this.logger.info('found the cause of crashes', { traits, crashCount }),
  });

  private readonly limits: UpstreamLimits;

  private readonly directory: UpstreamDirectory;

  private callerServer: CallerServer | undefined;

  constructor(private readonly settings: EntrySettings) {
    const { id, zone } = settings.instance;
    this.logger = createLogger({
      level: settings.logging.level,
      fields: { instance: id, zone },
    });
    this.versionStats = new VersionStatsRecorder({ instance: id, incarnation: this.incarnation });
    this.cascades = new CascadePolicy({
      clock: this.clock,
      random: this.random,
      instance: id,
      incarnation: this.incarnation,
    });
    this.invariants = new Invariants(
      this.registry,
      settings.invariants.fatal,
      (invariant, detail) => this.logger.error('invariant is violated', { invariant, detail }),
    );
    this.lifecycle = new LifecycleManager((task, error) =>
      this.logger.error('task failed', { task, error: String(error) }),
    );
    this.certificates = settings.tls && new CertificateFiles(settings.tls, this.logger);
    this.peerClients = new PeerClients({
      zone,
      getAddressBook: () => this.coordination.addresses,
      credentials: createChannelCredentials(this.certificates),
      random: this.random,
    });
    this.limits = new UpstreamLimits({
      clock: this.clock,
      getGroup: () => this.coordination.membership.describeGroup(),
      findUpstream: (name) => this.directory.describeLimited(name),
    });
    this.coordination = new Coordination({
      settings,
      incarnation: this.incarnation,
      peerClients: this.peerClients,
      quarantine: this.quarantine,
      crashes: this.crashes,
      limits: this.limits,
      clock: this.clock,
      random: this.random,
      logger: this.logger,
      lifecycle: this.lifecycle,
    });
    this.directory = new UpstreamDirectory({
      replica: this.coordination.replica,
      quarantine: this.quarantine,
      crashes: this.crashes,
      limits: this.limits,
      clock: this.clock,
      random: this.random,
      logger: this.logger,
      zone,
      connectMs: settings.limits.connectMs,
      fetchLeaving: () =>
        fetchLeavingInstances(settings.platform.objectApi, INSTANCE_LIST_TIMEOUT_MS),
    });
  }

  /** Starts listening on all ports. Rejects when a port is in use. */
  async start(): Promise<void> {
    const { listen, limits } = this.settings;
    const monitoring = new MonitoringServer({
      registry: this.registry,
      maxConnections: limits.metricsConnections,
      checkReadiness: () => this.checkReadiness(),
    });
    this.lifecycle.addCleanup('monitoring server', () => monitoring.close());
    await monitoring.listen(listen.metrics);
    await this.startGrpcServers();
    this.startTasks();
    this.callerServer = await this.createCallerServer();
    await this.callerServer.listen(listen.callers);
    this.state = 'serving';
    this.logger.info('instance is serving', { callers: listen.callers });
  }

  /**
   * Shuts down gracefully: reports unready, refuses new requests, waits for the open ones, flushes
   * claims and bills, and leaves the membership.
   */
  async stop(): Promise<void> {
    if (this.state === 'stopping') return;
    const { unreadyMs, drainMs } = this.settings.shutdown;
    this.logger.info('instance is stopping');
    this.state = 'stopping';
    this.coordination.membership.startLeaving();
    // Until the load balancer has read the readiness, requests still arrive and are served.
    await this.clock.sleep(unreadyMs);
    this.refusesRequests = true;
    await this.awaitDrain(drainMs);
    await this.callerServer?.close();
    await this.coordination.claims.flush();
    await this.coordination.billing.flush();
    await this.lifecycle.close();
    await this.directory.close();
    this.peerClients.close();
    this.certificates?.close();
    this.logger.info('instance has stopped');
  }

  /** Releases all resources after a failed start, without a drain: no request has been served. */
  async closeAfterFailedStart(): Promise<void> {
    await this.callerServer?.close();
    await this.lifecycle.close();
    await this.directory.close();
    this.peerClients.close();
    this.certificates?.close();
  }

  private checkReadiness(): string | undefined {
    if (this.state !== 'serving') return `the instance is ${this.state}`;
    const { replica } = this.coordination;
    if (!Number.isFinite(replica.getConfirmedAgeMs())) {
      return 'the configuration has not been read yet';
    }
    if (replica.getSessionKeys().keys.length === 0) return 'there is no session key';
    return undefined;
  }

  private checkAdmission(): Failure | undefined {
    if (this.refusesRequests) return createFailure('stopping', 'the instance is stopping');
    if (!Number.isFinite(this.coordination.replica.getConfirmedAgeMs())) {
      return createFailure('not_ready', 'the configuration has not been read yet', 1000);
    }
    return undefined;
  }

  private async awaitDrain(drainMs: number): Promise<void> {
    const deadlineMs = this.clock.monotonicMs() + drainMs;
    while (this.clock.monotonicMs() < deadlineMs) {
      const [inFlight] = (await this.metrics.inFlight.get()).values;
      if (!inFlight || inFlight.value === 0) return;
      await this.clock.sleep(DRAIN_POLL_MS);
    }
    this.logger.warn('requests are still open after the drain time', { drainMs });
  }

  private async startGrpcServers(): Promise<void> {
    const { replica, claims, billing, membership, membershipTask, store } = this.coordination;
    const { settings, clock, versionStats, cascades } = this;
    const editor = new ConfigEditor(store, clock);
    const rollouts = new RolloutEditor(editor, clock);
    const credentials = createServerCredentials(this.certificates);
    const peers = new GrpcServer(
      PeerService,
      createPeerService({
        membership: membershipTask,
        replica,
        claims,
        billing,
        versionStats,
        cascades,
        clock,
      }),
      credentials,
    );
    const operators = new GrpcServer(
      OperatorService,
      createOperatorService({
        editor,
        rollouts,
        store,
        replica,
        membership,
        addresses: this.coordination.addresses,
        permits: settings.permits,
        clock,
        sessionLifetimeMs: settings.sessions.lifetimeMs,
      }),
      credentials,
    );
    this.lifecycle.addCleanup('peer server', () => peers.close(GRPC_CLOSE_GRACE_MS));
    this.lifecycle.addCleanup('operator server', () => operators.close(GRPC_CLOSE_GRACE_MS));
    await peers.listen(settings.listen.peers);
    await operators.listen(settings.listen.operators);
    const controller = new RolloutController({
      settings,
      incarnation: this.incarnation,
      store,
      replica,
      rollouts,
      addresses: this.coordination.addresses,
      peerClients: this.peerClients,
      directory: this.directory,
      versionStats,
      clock,
      logger: this.logger,
    });
    this.lifecycle.startTask('rollouts', (signal) => controller.run(signal));
  }

  private startTasks(): void {
    const { replica, store, membership, membershipTask, addresses, billing } = this.coordination;
    const feed = new ConfigFeed({
      replica,
      store,
      membership,
      peerClients: this.peerClients,
      addresses,
      seeds: this.settings.peers.seeds,
      clock: this.clock,
      random: this.random,
      logger: this.logger,
    });
    replica.onChange(() => this.metrics.configRevision.set(replica.appliedRevision));
    this.lifecycle.startTask('configuration', (signal) => feed.run(signal));
    membership.onLost(({ id, incarnation }) => {
      this.logger.warn('peer instance is lost', { lost: id, incarnation });
      billing.adoptLostOrigin(id, incarnation).catch((error: unknown) => {
        this.logger.error('bills of a lost instance could not be stored', { error: String(error) });
      });
    });
    membershipTask.start();
    const collector = new EvidenceCollector(this.cascades, addresses, this.peerClients, this.clock);
    this.lifecycle.startTask('addresses', (signal) => addresses.run(signal));
    this.lifecycle.startTask('cascade evidence', (signal) => collector.run(signal));
    this.lifecycle.startTask('upstreams', (signal) => this.directory.run(signal));
    this.lifecycle.startTask('instance list', (signal) => this.directory.pollInstanceList(signal));
  }

  private createCallerServer(): Promise<CallerServer> {
    const { replica } = this.coordination;
    const { limits } = this.settings;
    const handlers = createRequestHandlers({
      settings: this.settings,
      coordination: this.coordination,
      directory: this.directory,
      peerClients: this.peerClients,
      quarantine: this.quarantine,
      crashes: this.crashes,
      cascades: this.cascades,
      versionStats: this.versionStats,
      metrics: this.metrics,
      invariants: this.invariants,
      clock: this.clock,
      random: this.random,
    });
    return CallerServer.create({
      context: {
        replica,
        ...handlers,
        limits,
        checkAdmission: () => this.checkAdmission(),
        isStopping: () => this.state === 'stopping',
      },
      maxBodyBytes: limits.bodyBytes,
      bodyMemoryBytes: limits.bodyMemoryBytes,
      maxConnections: limits.callerConnections,
      maxHeaderBytes: limits.headerBytes,
      receiveTimeoutMs: limits.receiveMs,
      onError: (error) => this.logger.error('request failed', { error: String(error) }),
    });
  }
}
