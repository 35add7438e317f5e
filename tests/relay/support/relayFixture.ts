import { platformDialect } from '@cactusstair/platform';
import { EventLog, RelayNode } from '@cactusstair/relay';
import type {
  Dialect,
  PeerRecord,
  RelayBounds,
  RelayConfig,
  RolloutOrder,
  RolloutProgress,
  Route,
  UpstreamRecord,
  WriteOutcome,
  ZoneEvacuation,
} from '@cactusstair/relay';
import { findFreePorts } from '@cactusstair/place';
import type { Clock } from '@cactusstair/utils';
import { waitFor } from '@cactusstair/utils';

import { MemorySource } from './memorySource.js';
import type { Script } from './scriptedUpstream.js';
import { ScriptedUpstream } from './scriptedUpstream.js';

export const HOST = 'relay.example';
export const API_KEY = 'key-1';

export const testBounds: RelayBounds = {
  stopGraceMs: 4000,
  configApplyMs: 2000,
  drainMs: 2000,
  isRevocationStrict: true,
  revokeMs: 5000,
  retryRatio: 0.9,
  retryWindowMs: 10_000,
  retrySlack: 54,
  canaryShare: 0.15,
  sessionTtlMs: 5000,
};

/** Creates a route to the service `app`. */
export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: HOST,
    pathPrefix: '/app/',
    kind: 'idempotent',
    timeoutMs: 2000,
    latencyGoalMs: 300,
    priority: 1,
    modelSizes: [],
    targets: [{ service: 'app', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    maxEventGapMs: 1000,
    ...overrides,
  };
}

/** Creates a route of resumable streams beside that of `createRoute`. */
export function createStreamRoute(): Route {
  return createRoute({
    name: 'stream',
    pathPrefix: '/stream/',
    kind: 'stream',
    isResumable: true,
    maxAttempts: 3,
  });
}

export function createConfig(version: number, routes: Route[]): RelayConfig {
  return {
    version,
    routes,
    services: [{ name: 'app', maxConnections: 100 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 10_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    workspaces: [{ name: 'workspace-1', apiKeys: [API_KEY] }],
  };
}

/** In-memory store of the objects that a relay follows. */
export class MemoryStore {
  readonly config = new MemorySource<RelayConfig>();

  readonly upstreams = new MemorySource<UpstreamRecord>();

  readonly rollouts = new MemorySource<RolloutOrder>();

  readonly evacuations = new MemorySource<ZoneEvacuation>();

  readonly peers = new MemorySource<PeerRecord>();

  readonly progress: RolloutProgress[] = [];

  putProgress(_name: string, _revision: number, progress: RolloutProgress): Promise<WriteOutcome> {
    this.progress.push(progress);
    return Promise.resolve('written');
  }

  announce(record: PeerRecord): Promise<WriteOutcome> {
    this.peers.put(record.name, record);
    return Promise.resolve('written');
  }

  /** Makes all calls fail, including waiting polls. */
  stop(): void {
    for (const source of this.listSources()) {
      source.isDown = true;
      source.wake();
    }
  }

  /** Makes calls succeed again after `stop`. */
  resume(): void {
    for (const source of this.listSources()) source.isDown = false;
  }

  private listSources(): MemorySource<unknown>[] {
    return [this.config, this.upstreams, this.rollouts, this.evacuations, this.peers];
  }
}

/** Bounds that differ from `testBounds`, and what else differs from a single instance. */
export interface FixtureOptions extends Partial<RelayBounds> {
  /** Fills the store before the start. */
  prepare?: (store: MemoryStore) => void;
  /** Name of one of several instances. */
  name?: string;
  /** Store that several instances share; holds a configuration already. */
  store?: MemoryStore;
  /** Default: that of the platform. */
  dialect?: Dialect;
}

/** A running relay with an in-memory store and scripted upstreams of the service `app`. */
export class RelayFixture {
  private readonly opened: ScriptedUpstream[] = [];

  private constructor(
    readonly node: RelayNode,
    readonly store: MemoryStore,
    /** Lines of the log. */
    readonly lines: readonly string[],
    readonly callerPort: number,
    readonly readinessPort: number,
  ) {}

  static async open(
    routes: Route[],
    clock?: Clock,
    options: FixtureOptions = {},
  ): Promise<RelayFixture> {
    const { name = 'instance-1', prepare, dialect = platformDialect, ...rest } = options;
    const { store = new MemoryStore(), ...bounds } = rest;
    const ports = (await findFreePorts(3)) as [number, number, number];
    const [callerPort, readinessPort, peerPort] = ports;
    const host = '127.0.0.1';
    if (store.config.get('main') === undefined) store.config.put('main', createConfig(1, routes));
    prepare?.(store);
    const lines: string[] = [];
    const sink = { write: (text: string) => lines.push(text) > 0, once: () => undefined };
    const node = new RelayNode({
      name,
      zone: 'zone-1',
      capacity: 1,
      callers: { host, port: callerPort },
      readiness: { host, port: readinessPort },
      readinessPath: '/readiness',
      peers: { host, port: peerPort },
      seedHosts: [],
      bounds: { ...testBounds, ...bounds },
      store,
      dialect,
      log: new EventLog({ fields: {}, sink }),
      ...(clock ? { clock } : {}),
    });
    const fixture = new RelayFixture(node, store, lines, callerPort, readinessPort);
    try {
      await node.start();
    } catch (error) {
      // A node that is left running would keep the test process alive.
      await fixture.close();
      throw error;
    }
    return fixture;
  }

  /** Opens a relay with two upstreams that run the same script, and waits until it is ready. */
  static async openPair(routes: Route[], script: Script) {
    const fixture = await RelayFixture.open(routes);
    const upstreams = [
      await fixture.addUpstream('a', script),
      await fixture.addUpstream('b', script),
    ];
    await fixture.waitReady();
    return { fixture, upstreams };
  }

  /** Adds an upstream of the service `app`. */
  async addUpstream(
    id: string,
    script: Script,
    overrides: Partial<UpstreamRecord> = {},
  ): Promise<ScriptedUpstream> {
    const upstream = await ScriptedUpstream.open(script);
    this.opened.push(upstream);
    this.store.upstreams.put(id, {
      id,
      service: 'app',
      host: '127.0.0.1',
      port: upstream.port,
      zone: 'zone-1',
      version: 'v1',
      slots: 8,
      isDraining: false,
      warmupLeftMs: 0,
      startedAtMs: 0,
      ...overrides,
    });
    await this.waitForLine(`"event":"upstream_seen","upstream":"${id}"`);
    return upstream;
  }

  /** Waits until the log contains a text `count` times. */
  async waitForLine(text: string, count = 1): Promise<void> {
    await waitFor(() => this.lines.join('').split(text).length > count, {
      what: `${text} in the log`,
      timeoutMs: 5000,
    });
  }

  async waitReady(): Promise<void> {
    await waitFor(() => this.node.isReady, { what: 'the relay to be ready', timeoutMs: 5000 });
  }

  async close(): Promise<void> {
    const closed = this.node.close();
    this.store.stop();
    await closed;
    for (const upstream of this.opened) await upstream.close();
  }
}
