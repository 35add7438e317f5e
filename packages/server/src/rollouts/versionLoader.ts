import type { TrackedLease } from '@cactusstair/coordination';
import { OrderSender } from '@cactusstair/coordination';
import type { Rollout } from '@cactusstair/protocol';
import type { Clock, Logger } from '@cactusstair/utils';

import type { EngineOrder } from '../upstreams/engineOrders.js';
import { EngineOrderTransport } from '../upstreams/engineOrders.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';

/** Options of `VersionLoader`. */
export interface VersionLoaderOptions {
  directory: UpstreamDirectory;
  clock: Clock;
  logger: Logger;
}

/** Engines that load at the same time. They share the bandwidth of the weight store. */
const MAX_CONCURRENT_LOADS = 2;

/**
 * After this time a rollout starts with the engines that have loaded the candidate, if they are at
 * least `MIN_LOADED_SHARE` of all.
 */
const PARTIAL_START_MS = 120_000;
const MIN_LOADED_SHARE = 0.5;

const ORDER_TIMEOUT_MS = 5000;

/** Loads the candidate of a rollout on the engines that run its baseline. */
export class VersionLoader {
  private readonly transport = new EngineOrderTransport();

  private sender: { lease: TrackedLease; orders: OrderSender<EngineOrder> } | undefined;

  constructor(private readonly options: VersionLoaderOptions) {}

  /** Sends the next load orders and returns whether enough engines have loaded the candidate. */
  async loadCandidate(rollout: Rollout, lease: TrackedLease): Promise<boolean> {
    const engines = this.listEngines(rollout);
    const missing = engines.filter(
      (engine) => !engine.hasVersion(rollout.model, rollout.candidateVersion),
    );
    if (engines.length > 0 && missing.length === 0) return true;
    await Promise.all(
      missing
        .slice(0, MAX_CONCURRENT_LOADS)
        .map((engine) => this.sendLoadOrder(engine, rollout, lease)),
    );
    const loadedShare = 1 - missing.length / Math.max(1, engines.length);
    const ageMs = this.options.clock.wallMs() - rollout.stepStartedAtMs;
    return ageMs >= PARTIAL_START_MS && loadedShare >= MIN_LOADED_SHARE;
  }

  private listEngines(rollout: Rollout): Upstream[] {
    return this.options.directory
      .listEngines()
      .filter((engine) => engine.health.getAvailability() !== 'leaving')
      .filter(
        (engine) =>
          engine.hasVersion(rollout.model, rollout.baselineVersion) ||
          engine.hasVersion(rollout.model, rollout.candidateVersion),
      );
  }

  private async sendLoadOrder(
    engine: Upstream,
    rollout: Rollout,
    lease: TrackedLease,
  ): Promise<void> {
    const result = await this.getSender(lease).apply(engine.config.url, {
      order: 'load',
      model: rollout.model,
      version: rollout.candidateVersion,
    });
    if (result.isErr()) {
      this.options.logger.warn('load order was not confirmed by the engine', {
        upstream: engine.name,
        rollout: rollout.name,
        reason: result.error.type,
      });
    }
  }

  private getSender(lease: TrackedLease): OrderSender<EngineOrder> {
    if (this.sender?.lease !== lease) {
      this.sender = {
        lease,
        orders: new OrderSender({
          lease,
          transport: this.transport,
          clock: this.options.clock,
          orderTimeoutMs: ORDER_TIMEOUT_MS,
        }),
      };
    }
    return this.sender.orders;
  }
}
