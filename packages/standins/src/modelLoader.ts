import { systemClock } from '@cactusstair/utils';
import { fetch } from 'undici';
import { z } from 'zod';

import type { EngineSettings, LoadedVersion } from './engineOptions.js';

/** Body of `POST /orders`. */
export const orderSchema = z.object({
  order: z.enum(['load', 'unload', 'role']),
  model: z.string().default(''),
  version: z.string().default(''),
  /** New role for the order `role`. */
  role: z.string().default(''),
  fencing: z.number().int().default(0),
});

export type Order = z.infer<typeof orderSchema>;

/** An order that the engine received, in its journal. */
export interface OrderEntry extends Order {
  atMs: number;
  accepted: boolean;
}

/** Applies orders: loads and unloads versions and sets the engine's role. */
export class ModelLoader {
  /** Every order received, including those before a crash. */
  readonly entries: OrderEntry[] = [];

  role = 'both';

  highestFencing = 0;

  private loaded: LoadedVersion[] = [];

  private loading: LoadedVersion[] = [];

  private failures: (LoadedVersion & { message: string })[] = [];

  private generation = 0;

  constructor(private readonly settings: EngineSettings) {
    this.reset();
  }

  /** Resets to the state after a start. */
  reset(): void {
    this.generation += 1;
    this.role = 'both';
    this.highestFencing = 0;
    this.loaded = [...this.settings.versions];
    this.loading = [];
    this.failures = [];
  }

  getLoaded(): LoadedVersion[] {
    return this.loaded;
  }

  getState() {
    return {
      role: this.role,
      highestFencing: this.highestFencing,
      versions: this.loaded,
      loading: this.loading,
      loadFailures: this.failures,
    };
  }

  /** Finds the version that a request runs on; without a version, the one loaded last. */
  find(model: string, version: string | undefined): LoadedVersion | undefined {
    return this.loaded.findLast(
      (entry) => entry.model === model && (version === undefined || entry.version === version),
    );
  }

  /** Applies an order; returns false if the engine refuses it for an outdated fencing token. */
  apply(order: Order): boolean {
    const accepted = !this.settings.checksFencing || order.fencing >= this.highestFencing;
    this.entries.push({ ...order, atMs: Date.now(), accepted });
    if (!accepted) return false;
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    this.handlers[order.order](order);
    return true;
  }

  private readonly handlers: Record<Order['order'], (order: Order) => void> = {
    load: ({ model, version }) => {
      const target = { model, version };
      if (this.find(model, version) || this.findLoading(target)) return;
      this.loading.push(target);
      this.load(target, this.generation).catch(() => {});
    },
    unload: ({ model, version }) => {
      this.loaded = this.loaded.filter((e) => e.model !== model || e.version !== version);
      this.loading = this.loading.filter((e) => e.model !== model || e.version !== version);
    },
    role: ({ role }) => {
      this.role = role;
    },
  };

  private findLoading(target: LoadedVersion): LoadedVersion | undefined {
    return this.loading.find((e) => e.model === target.model && e.version === target.version);
  }

  private async load(target: LoadedVersion, generation: number): Promise<void> {
    let message: string | undefined;
    try {
      await this.fetchWeights(target);
    } catch (error) {
      message = (error as Error).message;
    }
    // After a crash or an unload order during the transfer, its result is obsolete.
    if (generation !== this.generation || !this.loading.includes(target)) return;
    this.loading = this.loading.filter((entry) => entry !== target);
    if (message === undefined) this.loaded.push(target);
    else this.failures.push({ ...target, message });
  }

  private async fetchWeights({ model, version }: LoadedVersion): Promise<void> {
    const { weightStore, weightMegabytes, loadMs, name } = this.settings;
    if (weightStore === undefined) {
      await systemClock.sleep(loadMs);
      return;
    }
    const response = await fetch(`${weightStore}/v1/loads`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model, version, megabytes: weightMegabytes, engine: name }),
    });
    const text = await response.text();
    if (!response.ok) throw new Error(`the weight store answered ${response.status}: ${text}`);
  }
}
