import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

import type { EjectionArbiter, UpstreamHealthOptions } from './upstreamHealth.js';
import { DEFAULT_HEALTH_OPTIONS, UpstreamHealth } from './upstreamHealth.js';

/** Options of `UpstreamHealthPool`. */
export interface UpstreamHealthPoolOptions extends UpstreamHealthOptions {
  clock?: Clock;
  /** Maximum share of the pool that failures may take out of service. Default 0.5. */
  maxEjectedShare?: number;
}

/**
 * Health of the upstreams of one model pool.
 *
 * When all upstreams fail at once, the cause is more likely the network, the request mix or this
 * instance than the upstreams, and ejecting all of them would stop the service. By default, at
 * least half of the upstreams that are not leaving therefore stay in service.
 */
export class UpstreamHealthPool implements EjectionArbiter {
  private readonly members = new Map<string, UpstreamHealth>();

  private readonly clock: Clock;

  private readonly maxEjectedShare: number;

  private readonly healthOptions: Required<UpstreamHealthOptions>;

  constructor(options: UpstreamHealthPoolOptions = {}) {
    const { clock, maxEjectedShare, ...healthOptions } = options;
    this.clock = clock ?? systemClock;
    this.maxEjectedShare = maxEjectedShare ?? 0.5;
    this.healthOptions = { ...DEFAULT_HEALTH_OPTIONS, ...healthOptions };
  }

  /** Replaces the members; the health of those that stay is kept. */
  setMembers(names: Iterable<string>): void {
    const wanted = new Set(names);
    for (const name of [...this.members.keys()]) {
      if (!wanted.has(name)) this.members.delete(name);
    }
    for (const name of wanted) {
      if (this.members.has(name)) continue;
      this.members.set(name, new UpstreamHealth(name, this, this.clock, this.healthOptions));
    }
    this.restoreExcess();
  }

  /** Returns the health of a member; undefined for a name that is not a member. */
  get(name: string): UpstreamHealth | undefined {
    return this.members.get(name);
  }

  tryTakeOutOfService(name: string): boolean {
    const others = this.listTakenOut().filter((member) => member.name !== name);
    return others.length + 1 <= this.getMaxTakenOut();
  }

  /** Returns upstreams to service when others leave, in the order in which their ejections end. */
  restoreExcess(): void {
    const takenOut = this.listTakenOut().sort((a, b) => a.getOutUntilMs() - b.getOutUntilMs());
    const excess = takenOut.length - this.getMaxTakenOut();
    for (const member of takenOut.slice(0, Math.max(0, excess))) member.returnToService();
  }

  private listTakenOut(): UpstreamHealth[] {
    return [...this.members.values()].filter(
      (member) => !member.isMarkedLeaving() && member.isTakenOut(),
    );
  }

  private getMaxTakenOut(): number {
    const staying = [...this.members.values()].filter((member) => !member.isMarkedLeaving());
    return Math.floor(staying.length * this.maxEjectedShare);
  }
}
