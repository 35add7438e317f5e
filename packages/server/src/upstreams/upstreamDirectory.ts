import type { ConfigReplica } from '@cactusstair/coordination';
import type { Upstream as UpstreamConfig } from '@cactusstair/protocol';
import { UpstreamKind } from '@cactusstair/protocol';
import type { CrashQuarantine } from '@cactusstair/routing';
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
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Zone of this instance. */
  zone: string;
  connectMs: number;
  /** Reads the names of the instances that leave from the platform's list. */
  fetchLeaving: () => Promise<Set<string>>;
}

/** What decides where a model request runs. */
export interface EngineChoice {
  prefixHashes: string[];
  /** Names of upstreams that have failed this request. */
  exclude: Set<string>;
  /** Whether the request may crash its upstream and has to run without other suspects. */
  exclusive: boolean;
}

/** The engines that have loaded one version, and the queue in front of them. */
export interface ModelPool {
  readonly admission: AdmissionQueue;
  choose(choice: EngineChoice): Upstream | undefined;
}

/** The upstreams of one plain service. */
export interface ServicePool {
  /** Whether calls other than reads must not be repeated. */
  readonly nonIdempotent: boolean;
  choose(exclude: Set<string>): Upstream | undefined;
}

interface RunningUpstream {
  upstream: Upstream;
  lifecycle: LifecycleManager;
}

const CAPACITY_INTERVAL_MS = 200;
/** Leaves time for the read within the 3 s after which a leaving upstream gets no new work. */
const LIST_INTERVAL_MS = 1500;

/** The upstreams of the configuration: one polling task each, grouped into pools. */
export class UpstreamDirectory {
  private readonly running = new Map<string, RunningUpstream>();

  private readonly healthPools = new Map<string, UpstreamHealthPool>();

  private readonly modelPools = new Map<string, ModelPool>();

  private readonly prefixIndex: PrefixIndex;

  /** Upstreams that leave according to the platform's list. */
  private listedLeaving = new Set<string>();

  constructor(private readonly options: UpstreamDirectoryOptions) {
    this.prefixIndex = new PrefixIndex({ clock: options.clock });
  }

  /** Follows the configuration and keeps the queues' capacities current until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.options.replica.onChange(() => this.update());
    this.update();
    while (!signal.aborted) {
      for (const [key, pool] of this.modelPools) {
        pool.admission.setCapacity(this.computeCapacity(key));
      }
      await this.options.clock.sleep(CAPACITY_INTERVAL_MS, signal);
    }
  }

  /** Follows the platform's list of instances until `signal` aborts. */
  async followList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        this.listedLeaving = await this.options.fetchLeaving();
        for (const { upstream } of this.running.values()) this.applyListed(upstream);
      } catch {
        // The last list stays in use while the platform does not answer.
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
    };
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

  private choose(upstreams: Upstream[], choice: EngineChoice): Upstream | undefined {
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

  /** Slots of a version's engines in this zone, or everywhere if the zone has none. */
  private computeCapacity(key: string): number {
    const usable = this.listVersionEngines(key).filter((upstream) => {
      const availability = upstream.health.getAvailability();
      return availability === 'ready' || availability === 'slow_start';
    });
    return usable.reduce((sum, upstream) => sum + upstream.getCapacity(), 0);
  }

  /** Starts and stops upstreams so that they match the configuration. */
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
        this.applyListed(upstream);
      }
    }
    this.updateHealthPools([...wanted.values()]);
    for (const config of wanted.values()) {
      if (!this.running.has(config.name)) this.start(config);
    }
  }

  private applyListed({ name, config, health }: Upstream): void {
    if (config.leaving || this.listedLeaving.has(name)) health.markLeaving('platform_list');
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
    const { clock, logger, quarantine, connectMs } = this.options;
    const upstream = new Upstream({ ...config }, health, {
      clock,
      logger,
      quarantine,
      prefixIndex: this.prefixIndex,
      connectMs,
    });
    const lifecycle = new LifecycleManager((task, error) =>
      logger.error('task failed', { task, error: String(error) }),
    );
    lifecycle.own('link', () => upstream.link.close());
    lifecycle.startTask(`poll ${config.name}`, (signal) => upstream.pollLoad(signal));
    this.running.set(config.name, { upstream, lifecycle });
    this.applyListed(upstream);
  }

  private logCloseError(name: string, error: unknown): void {
    this.options.logger.warn('closing an upstream failed', {
      upstream: name,
      error: String(error),
    });
  }
}

/** Ejections are bounded within the upstreams that can stand in for each other. */
function getHealthPoolName(config: UpstreamConfig): string {
  return config.kind === UpstreamKind.SERVICE ? `service/${config.service}` : 'engines';
}
