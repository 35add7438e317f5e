import type { SelectionRequest } from '@cactusstair/relay';
import { selectUpstream, Upstream } from '@cactusstair/relay';
import type { CapacitySums } from '@cactusstair/routing';
import { addCapacitySums, CapacityEstimator } from '@cactusstair/routing';
import type { Clock, Random } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';

import { createRecord } from './records.js';

/** An upstream of a simulated pool. */
export interface SimulatedUpstream {
  slots?: number;
  zone?: string;
  /** Speed over time; 1 takes the nominal time. Default 1. */
  getSpeed?: (atMs: number) => number;
  /** Factor on the time of each request with `running` requests. Default 1. */
  getSlowdown?: (running: number) => number;
  /** Time for which it is cold. Default never. */
  coldUntilMs?: number;
}

/** How an instance chooses: by fewest known requests, as before this module, or as learned. */
export type ChoiceRule = 'least_requests' | 'former' | 'learned';

/** Options of `simulatePool`. */
export interface SimulationOptions {
  upstreams: SimulatedUpstream[];
  instances: number;
  rule: ChoiceRule;
  seed: number;
  requestsPerSecond: number;
  durationMs: number;
  /** Requests that arrive earlier are not counted. */
  warmupMs?: number;
  /** Work of a request at nominal speed, in milliseconds. Default 43. */
  workMs?: number;
  /** Standard deviation of the logarithm of the work. Default 0.3. */
  noise?: number;
  /** Events of a request; set for engines. */
  events?: number;
  /** Called after each choice with the known state of the choosing instance. */
  onChoice?: (choice: Choice) => void;
  /** Called after each report, with the estimates of the first instance. */
  onReport?: (report: Report) => void;
}

export interface Choice {
  atMs: number;
  chosen: Upstream;
  upstreams: readonly Upstream[];
  capacity: CapacityEstimator;
}

export interface Report {
  atMs: number;
  limits: number[];
  /** Expected times of a call at each upstream with two requests. */
  timesMs: number[];
  /** Expected times of a further call at each upstream now. */
  nextTimesMs: number[];
  /** Requests that each upstream has got. */
  counts: number[];
}

export interface SimulationResult {
  meanMs: number;
  p99Ms: number;
  /** Share of the requests that found all slots of their upstream occupied. */
  overSlotsShare: number;
  countByUpstream: number[];
}

const DEFAULT_SLOTS = 6;
const DEFAULT_WORK_MS = 43;
const DEFAULT_NOISE = 0.3;
/** Loads are this old when they arrive, and this much older when the next ones do. */
const REPORT_INTERVAL_MS = 500;
const ENGINE = { slots: 12, memoryTokens: 0, priceByModel: {} };
const LARGE_FLEET = 13;
// The former rule compared a sample of a large pool.
const MAX_COMPARED = 40;
const SAMPLED = 10;

class ManualTime implements Clock {
  nowMs = 0;

  monotonicMs(): number {
    return this.nowMs;
  }

  wallMs(): number {
    return this.nowMs;
  }

  sleep(): Promise<void> {
    throw new Error('the simulation does not sleep');
  }
}

interface Job {
  remainingMs: number;
  arrivedMs: number;
  complete: () => void;
}

/** A server that works on up to `slots` requests at once; others wait in order of arrival. */
class Server {
  readonly running: Job[] = [];

  readonly waiting: Job[] = [];

  private updatedAtMs = 0;

  constructor(readonly profile: SimulatedUpstream) {}

  get slots(): number {
    return this.profile.slots ?? DEFAULT_SLOTS;
  }

  private get rate(): number {
    const { getSpeed = () => 1, getSlowdown = () => 1 } = this.profile;
    return getSpeed(this.updatedAtMs) / getSlowdown(this.running.length);
  }

  /** Works until `atMs`. */
  advance(atMs: number): void {
    const { rate } = this;
    for (const job of this.running) job.remainingMs -= (atMs - this.updatedAtMs) * rate;
    this.updatedAtMs = atMs;
  }

  add(job: Job): void {
    if (this.running.length < this.slots) this.running.push(job);
    else this.waiting.push(job);
  }

  get nextMs(): number {
    const shortest = Math.min(Infinity, ...this.running.map(({ remainingMs }) => remainingMs));
    return this.updatedAtMs + Math.max(0, shortest) / this.rate;
  }

  takeDone(): Job[] {
    const done = this.running.filter(({ remainingMs }) => remainingMs <= 1e-6);
    for (const job of done) this.running.splice(this.running.indexOf(job), 1);
    while (this.running.length < this.slots && this.waiting.length > 0) {
      this.running.push(this.waiting.shift()!);
    }
    return done;
  }
}

interface Instance {
  upstreams: Upstream[];
  capacity: CapacityEstimator;
  snapshot: number[];
}

function chooseByRequests(upstreams: readonly Upstream[], random: Random): Upstream {
  const costs = upstreams.map(({ running }) => running + random.next() * 0.01);
  return upstreams[costs.indexOf(Math.min(...costs))]!;
}

/** The rule before capacities were learned; its constants are those of that build. */
function chooseAsFormer(
  upstreams: readonly Upstream[],
  random: Random,
  isEngine: boolean,
): Upstream {
  const compared =
    upstreams.length <= MAX_COMPARED
      ? upstreams
      : Array.from({ length: SAMPLED }, () => upstreams[random.nextInt(upstreams.length)]!);
  const costs = compared.map(
    ({ running, record }) =>
      (isEngine ? running * 4 : (running / record.slots) * 100) +
      (record.zone === 'zone-1' ? 0 : 12) +
      ((record.warmupLeftMs ?? 0) > 0 ? 150 : 0) +
      random.next() * 6,
  );
  return compared[costs.indexOf(Math.min(...costs))]!;
}

function getQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

/** Creates the request of a simulation; for an engine if it has events. */
export function createSimulationRequest(events: number | undefined): SelectionRequest {
  return {
    zone: 'zone-1',
    isZoneUnreachable: () => false,
    ...(events === undefined ? {} : { engine: ENGINE }),
    estimatePrefillMs: () => 0,
    getQueueBiasMs: () => 0,
    promptTokens: 0,
    heldTokens: 0,
    promptParts: [],
    workClass: 'work',
  };
}

/** Simulates instances that send requests to the same upstreams and learn from them. */
export function simulatePool(options: SimulationOptions): SimulationResult {
  const { workMs = DEFAULT_WORK_MS, noise = DEFAULT_NOISE, warmupMs = 0, events } = options;
  const clock = new ManualTime();
  const random = createRandom(options.seed);
  const servers = options.upstreams.map((profile) => new Server(profile));
  const isCold = ({ profile }: Server) => clock.nowMs < (profile.coldUntilMs ?? 0);
  const createUpstream = ({ profile }: Server, index: number) =>
    new Upstream(
      createRecord(`upstream-${index}`, {
        slots: profile.slots ?? DEFAULT_SLOTS,
        zone: profile.zone ?? 'zone-1',
      }),
      clock,
    );
  const instances = Array.from({ length: options.instances }, (): Instance => ({
    upstreams: servers.map(createUpstream),
    capacity: new CapacityEstimator(clock, workMs),
    snapshot: servers.map(() => 0),
  }));
  const request = { ...createSimulationRequest(events), random: () => random.next() };
  const times: number[] = [];
  const counts = servers.map(() => 0);
  let overSlots = 0;

  function choose(instance: Instance): Upstream {
    const { upstreams, capacity } = instance;
    upstreams.forEach((upstream, index) => {
      upstream.record = { ...upstream.record, warmupLeftMs: isCold(servers[index]!) ? 1 : 0 };
    });
    if (options.rule === 'least_requests') return chooseByRequests(upstreams, random);
    if (options.rule === 'former') {
      return chooseAsFormer(upstreams, random, events !== undefined);
    }
    const selection = selectUpstream(upstreams, { ...request, capacity });
    const { upstream: chosen } = selection ?? { upstream: chooseByRequests(upstreams, random) };
    options.onChoice?.({ atMs: clock.nowMs, chosen, upstreams, capacity });
    return chosen;
  }

  function startRequest(): void {
    const instance = instances[random.nextInt(instances.length)]!;
    const { capacity } = instance;
    const chosen = choose(instance);
    const index = instance.upstreams.indexOf(chosen);
    const server = servers[index]!;
    const startedMs = clock.nowMs;
    const isCounted = startedMs >= warmupMs;
    if (isCounted) {
      counts[index]! += 1;
      if (server.running.length >= server.slots) overSlots += 1;
    }
    const call = { backlogMs: 0, heldTokens: 0 };
    chosen.calls.add(call);
    const estimateLoad = () => chosen.estimateLoad(capacity.estimateCallMs('work')).running;
    const startLoad = estimateLoad();
    const wasCold = isCold(server);
    const deviate = 2 * (random.next() + random.next() + random.next() - 1.5);
    const workFactor = Math.exp(noise * deviate);
    const complete = () => {
      const durationMs = clock.nowMs - startedMs;
      const running = (startLoad + estimateLoad()) / 2;
      chosen.calls.delete(call);
      if (isCounted) times.push(durationMs);
      if (wasCold || isCold(server)) return;
      // The work of an engine varies with the number of events, which the answer tells.
      const timeMs = events === undefined ? durationMs : durationMs / (events * workFactor);
      capacity.record({ upstream: chosen.record, workClass: 'work', running, timeMs });
      capacity.recordCall('work', durationMs);
    };
    server.advance(clock.nowMs);
    server.add({ remainingMs: workMs * workFactor, arrivedMs: startedMs, complete });
  }

  let inTransit: (() => void) | undefined;

  /** Delivers the last report, then sends the next one. */
  function exchangeReports(): void {
    inTransit?.();
    const { nowMs } = clock;
    const snapshots = instances.map(({ upstreams }) => upstreams.map(({ calls }) => calls.size));
    const totals = servers.map((_, index) =>
      snapshots.reduce((sum, snapshot) => sum + snapshot[index]!, 0),
    );
    const exported = instances.map(({ capacity }) => capacity.exportSums());
    const createTotal = (skipped?: CapacitySums) => {
      const total: CapacitySums = { classes: {}, upstreams: {} };
      for (const sums of exported) if (sums !== skipped) addCapacitySums(total, sums);
      return total;
    };
    const fleet = createTotal();
    inTransit = () =>
      instances.forEach((instance, number) => {
        instance.upstreams.forEach((upstream, index) => {
          const running = totals[index]! - snapshots[number]![index]!;
          upstream.peerLoad = { running, backlogMs: 0, heldTokens: 0 };
        });
        const isLarge = instances.length > LARGE_FLEET;
        instance.capacity.importPeerSums(isLarge ? fleet : createTotal(exported[number]));
      });
    const { upstreams, capacity } = instances[0]!;
    const callMs = capacity.estimateCallMs('work');
    options.onReport?.({
      atMs: nowMs,
      limits: upstreams.map(({ record }) => capacity.getLimit(record)),
      timesMs: upstreams.map(({ record }) => capacity.estimateMs(record, 'work', 2)),
      nextTimesMs: upstreams.map((upstream) => {
        const { running } = upstream.estimateLoad(callMs);
        return capacity.estimateMs(upstream.record, 'work', running + 1);
      }),
      counts: [...counts],
    });
  }

  const drawGapMs = () => (-Math.log(1 - random.next()) * 1000) / options.requestsPerSecond;
  let arrivalMs = drawGapMs();
  let reportMs = REPORT_INTERVAL_MS;
  while (clock.nowMs < options.durationMs) {
    const nextMs = servers.map((server) => server.nextMs);
    const doneMs = Math.min(...nextMs);
    clock.nowMs = Math.min(doneMs, arrivalMs, reportMs);
    if (doneMs <= arrivalMs && doneMs <= reportMs) {
      const server = servers[nextMs.indexOf(doneMs)]!;
      server.advance(clock.nowMs);
      for (const job of server.takeDone()) job.complete();
    } else if (arrivalMs <= reportMs) {
      startRequest();
      arrivalMs += drawGapMs();
    } else {
      // A change of speed takes effect here.
      for (const server of servers) server.advance(clock.nowMs);
      exchangeReports();
      reportMs += REPORT_INTERVAL_MS;
    }
  }
  times.sort((a, b) => a - b);
  return {
    meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
    p99Ms: getQuantile(times, 0.99),
    overSlotsShare: overSlots / counts.reduce((sum, count) => sum + count, 0),
    countByUpstream: counts,
  };
}
