import type { ConfigReplica } from '@cactusstair/coordination';
import type { Upstream as UpstreamConfig } from '@cactusstair/protocol';
import { UpstreamKind } from '@cactusstair/protocol';
import type { CrashAttribution, CrashQuarantine, UpstreamLimits } from '@cactusstair/routing';
import {
  AdmissionQueue,
  chooseUpstream,
  PrefixIndex,
  UpstreamHealthPool,
} from '@cactusstair/routing';
import type { Clock, Logger, Random } from '@cactusstair/utils';
import { LifecycleManager } from '@cactusstair/utils';

import { Upstream } from './upstream.js';

/** Options of `UpstreamDirectory`. */
export interface UpstreamDirectoryOptions {
  replica: ConfigReplica;
  quarantine: CrashQuarantine;
  crashes: CrashAttribution;
  limits: UpstreamLimits;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Zone of this instance. */
  zone: string;
  connectMs: number;
  /** Reads the names of the leaving instances from the platform's list. */
  fetchLeaving: () => Promise<Set<string>>;
}

/** Criteria for the choice of an engine for a request. */
export interface EngineChoice {
  prefixHashes: string[];
  /** Names of upstreams on which this request has failed. */
  exclude: Set<string>;
  /** Whether the request may crash its upstream and must not share it with another suspect. */
  exclusive: boolean;
}

/** The engines that have loaded one version, and the queue in front of them. */
export interface ModelPool {
  readonly admission: AdmissionQueue;
  choose(choice: EngineChoice): Upstream | undefined;
  /** Returns when a refused caller may return: when an upstream accepts requests, after `minMs`. */
  getRetryAfterMs(minMs: number): number;
}

/** The upstreams of one plain service. */
export interface ServicePool {
  /** Whether calls other than reads must not be repeated. */
  readonly nonIdempotent: boolean;
  choose(exclude: Set<string>): Upstream | undefined;
  /** Returns when a refused caller may return: when an upstream accepts requests, after `minMs`. */
  getRetryAfterMs(minMs: number): number;
}

interface RunningUpstream {
  upstream: Upstream;
  lifecycle: LifecycleManager;
}

const CAPACITY_UPDATE_INTERVAL_MS = 200;
/** A leaving upstream must get no new requests after 3 s. Half of that is left for the read. */
const LIST_INTERVAL_MS = 1500;

/** Polls every upstream of the configuration in a separate task and groups upstreams into pools. */
export class UpstreamDirectory {
  private readonly running = new Map<string, RunningUpstream>();

  private readonly healthPools = new Map<string, UpstreamHealthPool>();

  private readonly modelPools = new Map<string, ModelPool>();

  private readonly prefixIndex: PrefixIndex;

  /** Names of the leaving upstreams in the platform's list. */
  private leavingNames = new Set<string>();

  constructor(private readonly options: UpstreamDirectoryOptions) {
    this.prefixIndex = new PrefixIndex({ clock: options.clock });
  }

  /** Applies configuration changes and updates the queues' capacities until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.options.replica.onChange(() => this.update());
    this.update();
    while (!signal.aborted) {
      for (const [key, pool] of this.modelPools) {
        pool.admission.setCapacity(this.computeCapacity(key));
      }
      this.options.limits.refresh();
      await this.options.clock.sleep(CAPACITY_UPDATE_INTERVAL_MS, signal);
    }
  }

  /** Polls the platform's list of instances until `signal` aborts. */
  async pollInstanceList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.leavingNames = await this.options.fetchLeaving();
        for (const { upstream } of this.running.values()) this.applyPlatformList(upstream);
      } catch {
        // The last list stays in effect while the platform does not answer.
      }
      await this.options.clock.sleep(LIST_INTERVAL_MS, signal);
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.running.values()].map(({ lifecycle }) => lifecycle.close()));
    this.running.clear();
  }

  /** Returns the pool of the engines that have loaded a version. */
  getModelPool(model: string, version: string): ModelPool {
    const key = `${model}@${version}`;
    let pool = this.modelPools.get(key);
    if (!pool) {
      pool = {
        admission: new AdmissionQueue({
          clock: this.options.clock,
          capacity: this.computeCapacity(key),
        }),
        choose: (choice) => this.chooseEngine(key, choice),
        getRetryAfterMs: (minMs) => computeRetryAfterMs(this.listVersionEngines(key), minMs),
      };
      this.modelPools.set(key, pool);
    }
    return pool;
  }

  getServicePool(service: string): ServicePool {
    const upstreams = this.listServiceUpstreams(service);
    return {
      nonIdempotent: upstreams.some((upstream) => upstream.config.nonIdempotent),
      choose: (exclude) => this.choose(upstreams, { prefixHashes: [], exclude, exclusive: false }),
      getRetryAfterMs: (minMs) => computeRetryAfterMs(upstreams, minMs),
    };
  }

  /** Describes an upstream whose limit the instances divide; undefined if it gets no requests. */
  describeLimited(name: string): { pool: string; zone: string } | undefined {
    const upstream = this.running.get(name)?.upstream;
    if (!upstream || upstream.health.isMarkedLeaving()) return undefined;
    return { pool: upstream.describePool(), zone: upstream.config.zone };
  }

  listEngines(): Upstream[] {
    return this.listUpstreams().filter((upstream) => upstream.config.kind === UpstreamKind.ENGINE);
  }

  private listUpstreams(): Upstream[] {
    return [...this.running.values()].map(({ upstream }) => upstream);
  }

  private listServiceUpstreams(service: string): Upstream[] {
    return this.listUpstreams().filter(
      ({ config }) => config.kind === UpstreamKind.SERVICE && config.service === service,
    );
  }

  private listVersionEngines(key: string): Upstream[] {
    const at = key.lastIndexOf('@');
    const [model, version] = [key.slice(0, at), key.slice(at + 1)];
    return this.listEngines().filter((upstream) => upstream.hasVersion(model, version));
  }

  private chooseEngine(key: string, choice: EngineChoice): Upstream | undefined {
    const chosen = this.choose(this.listVersionEngines(key), choice);
    if (chosen) this.prefixIndex.recordSent(chosen.name, choice.prefixHashes);
    return chosen;
  }

  private choose(all: Upstream[], choice: EngineChoice): Upstream | undefined {
    const upstreams = all.filter((upstream) => upstream.getWaitMs() <= 0);
    const view = chooseUpstream(
      upstreams.map((upstream) => upstream.getView()),
      { zone: this.options.zone, ...choice },
      {
        random: this.options.random,
        prefixIndex: this.prefixIndex,
        exclusiveUpstreams: new Set(
          upstreams.filter((upstream) => upstream.isExclusive()).map(({ name }) => name),
        ),
      },
    );
    return view && upstreams.find(({ name }) => name === view.name);
  }

  /** Sums the capacities of the engines that have loaded a version and are available. */
  private computeCapacity(key: string): number {
    const usable = this.listVersionEngines(key).filter((upstream) => {
      const availability = upstream.health.getAvailability();
      return availability === 'ready' || availability === 'slow_start';
    });
    return usable.reduce((sum, upstream) => sum + upstream.getCapacity(), 0);
  }

  /** Starts, updates and stops upstreams to match the configuration. */
  private update(): void {
    const wanted = new Map(
      this.options.replica.getUpstreams().map((config) => [config.name, config]),
    );
    for (const [name, { upstream, lifecycle }] of this.running) {
      const config = wanted.get(name);
      const moved = config?.url !== upstream.config.url || config.kind !== upstream.config.kind;
      if (moved) {
        this.running.delete(name);
        lifecycle.close().catch((error: unknown) => this.logCloseError(name, error));
      } else if (JSON.stringify(config) !== JSON.stringify(upstream.config)) {
        Object.assign(upstream.config, config);
        this.applyPlatformList(upstream);
      }
    }
    this.updateHealthPools([...wanted.values()]);
    for (const config of wanted.values()) {
      if (!this.running.has(config.name)) this.start(config);
    }
  }

  private applyPlatformList({ name, config, health }: Upstream): void {
    if (config.leaving || this.leavingNames.has(name)) health.markLeaving('platform_list');
    else health.clearLeaving('platform_list');
  }

  private updateHealthPools(configs: UpstreamConfig[]): void {
    const namesByPool = new Map<string, string[]>();
    for (const config of configs) {
      const poolName = getHealthPoolName(config);
      namesByPool.set(poolName, [...(namesByPool.get(poolName) ?? []), config.name]);
    }
    for (const [poolName, names] of namesByPool) {
      let pool = this.healthPools.get(poolName);
      if (!pool) {
        pool = new UpstreamHealthPool({ clock: this.options.clock });
        this.healthPools.set(poolName, pool);
      }
      pool.setMembers(names);
    }
  }

  private start(config: UpstreamConfig): void {
    const health = this.healthPools.get(getHealthPoolName(config))?.get(config.name);
    if (!health) throw new Error(`upstream ${config.name} has no health pool`);
    const { clock, logger, quarantine, crashes, limits, connectMs } = this.options;
    const upstream = new Upstream({ ...config }, health, {
      clock,
      logger,
      quarantine,
      crashes,
      prefixIndex: this.prefixIndex,
      limits,
      connectMs,
    });
    const lifecycle = new LifecycleManager((task, error) =>
      logger.error('task failed', { task, error: String(error) }),
    );
    lifecycle.addCleanup('link', () => upstream.link.close());
    lifecycle.startTask(`poll ${config.name}`, (signal) => upstream.pollLoad(signal));
    this.running.set(config.name, { upstream, lifecycle });
    this.applyPlatformList(upstream);
  }

  private logCloseError(name: string, error: unknown): void {
    this.options.logger.warn('upstream could not be closed', {
      upstream: name,
      error: String(error),
    });
  }
}

/**
 * Returns the name of the pool within which the share of ejected upstreams is bounded: upstreams
 * that can replace each other.
 */
function getHealthPoolName(config: UpstreamConfig): string {
  return config.kind === UpstreamKind.SERVICE ? `service/${config.service}` : 'engines';
}

function computeRetryAfterMs(upstreams: readonly Upstream[], minMs: number): number {
  const waitMs = Math.min(Infinity, ...upstreams.map((upstream) => upstream.getWaitMs()));
  return Number.isFinite(waitMs) ? Math.max(waitMs, minMs) : minMs;
}
