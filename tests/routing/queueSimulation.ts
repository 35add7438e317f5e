import type { WaitingRequest } from '@cactusstair/routing';
import { PlaceCredit, RunTimes, ServiceQueue } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';

import { EventHeap } from './eventHeap.js';
import type { Load, Outcome, Rule } from './queueLoad.js';

interface Upstream {
  running: number;
  fullUntilMs: number;
  fullMs: number;
}

interface Call {
  outcome: Outcome;
  /** When this request of the caller arrived; later than the first for one that returns. */
  atMs: number;
  isReturn: boolean;
  immediate: number;
  tries: number;
  giveUpAtMs: number;
  /** Upstreams that have rejected it. */
  rejecting: Set<number>;
  excluded: Set<number>;
}

interface Instance {
  index: number;
  own: number[];
  /** Load of the others, as last reported. */
  peers: number[];
  queue: ServiceQueue<Call>;
  runs: RunTimes;
  credit: PlaceCredit;
  checkAtMs: number;
}

const POLL_MS = 40;
const POLL_GOALS = 0.12;
const REPORT_INTERVAL_MS = 250;
const POLL_RETURN_MS = 600;
const ZONES = 2;
const MAX_TRIES = 8;
const NETWORK_MS = 2;

/** Simulates instances that share the upstreams of one service, in virtual time. */
export class QueueSimulation {
  readonly outcomes: Outcome[] = [];

  rejections = 0;

  private nowMs = 0;

  private readonly clock: Clock = {
    monotonicMs: () => this.nowMs,
    wallMs: () => this.nowMs,
    sleep: () => Promise.resolve(),
  };

  private readonly events = new EventHeap();

  private readonly random: Random;

  private readonly upstreams: Upstream[];

  private readonly instances: Instance[];

  constructor(
    private readonly load: Load,
    private readonly rule: Rule,
  ) {
    this.random = createRandom(load.seed);
    this.upstreams = Array.from({ length: load.upstreams }, () => ({
      running: 0,
      fullUntilMs: 0,
      fullMs: 20,
    }));
    this.instances = Array.from({ length: load.instances }, (_, index) => {
      const runs = new RunTimes();
      return {
        index,
        own: this.upstreams.map(() => 0),
        peers: this.upstreams.map(() => 0),
        queue: new ServiceQueue<Call>({
          clock: this.clock,
          random: () => this.random.next(),
          getExpectedRate: () =>
            runs.meanMs === undefined ? undefined : this.countListed() / load.instances,
        }),
        runs,
        credit: new PlaceCredit(),
        checkAtMs: Infinity,
      };
    });
  }

  run(): this {
    this.scheduleArrival();
    for (let atMs = 0; atMs < 3 * this.load.durationMs; atMs += REPORT_INTERVAL_MS) {
      this.schedule(atMs, () => this.report());
    }
    for (let event = this.events.take(); event; event = this.events.take()) {
      this.nowMs = event.atMs;
      event.run();
    }
    return this;
  }

  private schedule(atMs: number, run: () => void): void {
    this.events.add(atMs, run);
  }

  private scheduleArrival(): void {
    const { kinds, upstreams, slots, getLoadFactor, durationMs } = this.load;
    const meanMs = kinds.reduce((sum, { workMs, share }) => sum + workMs * share, 0);
    const perMs = ((upstreams * slots) / meanMs) * getLoadFactor(this.nowMs);
    const gapMs = perMs > 0 ? -Math.log(1 - this.random.next()) / perMs : 10;
    const atMs = this.nowMs + Math.min(gapMs, 50);
    if (atMs >= durationMs) return;
    this.schedule(atMs, () => {
      if (gapMs <= 50) this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    const { kinds, workspaces, getWorkspaceWeight, instances } = this.load;
    const workspaceList = Array.from({ length: workspaces }, (_, index) => index);
    const outcome: Outcome = {
      id: this.outcomes.length,
      kind: this.pick(kinds, ({ share }) => share),
      workspace: this.pick(workspaceList, (index) => getWorkspaceWeight(index, this.nowMs)),
      zone: 0,
      arrivedMs: this.nowMs,
    };
    const instance = this.instances[this.random.nextInt(instances)]!;
    outcome.zone = instance.index % ZONES;
    this.outcomes.push(outcome);
    this.handle(instance, this.createCall(outcome, false, 0));
  }

  private pick<T>(items: readonly T[], getWeight: (item: T) => number): T {
    const total = items.reduce((sum, item) => sum + getWeight(item), 0);
    let point = this.random.next() * total;
    for (const item of items) {
      point -= getWeight(item);
      if (point < 0) return item;
    }
    return items.at(-1)!;
  }

  private createCall(outcome: Outcome, isReturn: boolean, immediate: number): Call {
    const giveUpAtMs = this.nowMs + POLL_GOALS * outcome.kind.goalMs;
    return {
      outcome,
      atMs: this.nowMs,
      isReturn,
      immediate,
      tries: 0,
      giveUpAtMs,
      rejecting: new Set(),
      excluded: new Set(),
    };
  }

  private handle(instance: Instance, call: Call): void {
    if (this.rule === 'polls') {
      this.poll(instance, call);
      return;
    }
    const request = describe(instance, call);
    if (instance.queue.length === 0 && this.tryStart(instance, call)) {
      instance.queue.recordStarted(request);
      return;
    }
    instance.queue.add(call, request);
    this.offer(instance, 1);
    this.refuse(instance, call.tries === 0 ? call : undefined);
  }

  private poll(instance: Instance, call: Call): void {
    if (this.tryStart(instance, call)) return;
    if (this.nowMs + POLL_MS > call.giveUpAtMs) this.sendRefusal(instance, call, POLL_RETURN_MS);
    else this.schedule(this.nowMs + POLL_MS, () => this.poll(instance, call));
  }

  private offer(instance: Instance, ownPlaces: number): void {
    const free = this.upstreams.reduce((sum, _, index) => sum + this.countFree(instance, index), 0);
    instance.credit.accrue(free, 1 / this.load.instances, this.nowMs);
    let own = ownPlaces;
    instance.queue.offer(
      (call) => {
        if (!this.tryStart(instance, call)) return false;
        if (own > 0) own -= 1;
        else instance.credit.take();
        return true;
      },
      () => own > 0 || instance.credit.hasPlace,
    );
  }

  private refuse(instance: Instance, newest?: Call): void {
    const free = this.upstreams.some((_, index) => this.countFree(instance, index) > 0);
    const waiting = instance.queue.length;
    for (const { item } of instance.queue.takeRefusals(newest)) {
      item.outcome.wasRefusedWhileFree = free && waiting === 1;
      const request = describe(instance, item);
      this.sendRefusal(instance, item, instance.queue.reserveReturn(request, 0));
    }
    const atMs = instance.queue.nextRefusalAtMs;
    if (atMs === Infinity || (instance.checkAtMs <= atMs && instance.checkAtMs > this.nowMs))
      return;
    instance.checkAtMs = atMs;
    this.schedule(Math.max(this.nowMs + 1, atMs), () => {
      this.offer(instance, 0);
      this.refuse(instance);
    });
  }

  private sendRefusal(instance: Instance, call: Call, returnMs: number): void {
    const { outcome } = call;
    const { workspace, count } = this.load.immediateRetries;
    if (!call.isReturn) outcome.refusedAfterMs ??= this.nowMs - call.atMs;
    if (outcome.workspace === workspace && call.immediate < count) {
      const other = this.instances[this.random.nextInt(this.load.instances)]!;
      this.schedule(this.nowMs + NETWORK_MS, () =>
        this.handle(other, this.createCall(outcome, false, call.immediate + 1)),
      );
    } else if (call.isReturn) {
      outcome.returned = 'refused';
    } else if (outcome.workspace !== workspace) {
      this.schedule(this.nowMs + returnMs, () =>
        this.handle(instance, this.createCall(outcome, true, 0)),
      );
    }
  }

  private countFree(instance: Instance, index: number): number {
    if (this.load.getSlowness(index, this.nowMs) === Infinity) return 0;
    if (this.upstreams[index]!.fullUntilMs > this.nowMs && this.rule === 'queue') return 0;
    const known = instance.own[index]! + instance.peers[index]!;
    return Math.max(0, this.load.slots - known);
  }

  private countListed(): number {
    const listed = this.upstreams.filter(
      (_, index) => this.load.getSlowness(index, this.nowMs) < Infinity,
    );
    return listed.length * this.load.slots;
  }

  private tryStart(instance: Instance, call: Call): boolean {
    let best = -1;
    let bestFree = 0;
    this.upstreams.forEach((_, index) => {
      const free = call.excluded.has(index) ? 0 : this.countFree(instance, index);
      const weighted = free > 0 ? free + this.random.next() : 0;
      if (weighted > bestFree) {
        best = index;
        bestFree = weighted;
      }
    });
    if (best < 0) return false;
    instance.own[best]! += 1;
    const upstream = this.upstreams[best]!;
    if (upstream.running >= this.load.slots) {
      this.rejections += 1;
      this.schedule(this.nowMs + NETWORK_MS, () => this.reject(instance, call, best));
      return true;
    }
    upstream.running += 1;
    upstream.fullMs = 20;
    const { outcome } = call;
    if (!call.isReturn) outcome.startedAfterMs ??= this.nowMs - call.atMs;
    const slowness = this.load.getSlowness(best, this.nowMs);
    const runMs = outcome.kind.workMs * slowness * (0.7 + 0.6 * this.random.next());
    this.schedule(this.nowMs + runMs, () => this.complete(instance, call, best, runMs));
    return true;
  }

  private reject(instance: Instance, call: Call, index: number): void {
    instance.own[index]! -= 1;
    const upstream = this.upstreams[index]!;
    if (upstream.fullUntilMs <= this.nowMs) {
      upstream.fullUntilMs = this.nowMs + upstream.fullMs;
      upstream.fullMs = Math.min(1000, upstream.fullMs * 2);
    }
    call.tries += 1;
    // The current rule leaves out an upstream after its first rejection.
    if (this.rule === 'polls' || call.rejecting.has(index)) call.excluded.add(index);
    call.rejecting.add(index);
    if (call.tries >= MAX_TRIES) this.sendRefusal(instance, call, POLL_RETURN_MS);
    else this.handle(instance, call);
  }

  private complete(instance: Instance, call: Call, index: number, runMs: number): void {
    instance.own[index]! -= 1;
    this.upstreams[index]!.running -= 1;
    instance.runs.record(call.outcome.kind.name, runMs);
    const tookMs = this.nowMs - call.atMs;
    if (tookMs <= call.outcome.kind.deadlineMs) {
      if (call.isReturn) call.outcome.returned = 'served';
      else call.outcome.servedMs = this.nowMs - call.outcome.arrivedMs;
    }
    if (this.rule === 'queue' && instance.queue.length > 0) this.offer(instance, 1);
  }

  private report(): void {
    if (this.load.reportAgeMs === Infinity) {
      // A load that is older than this is forgotten; without an exchange there is none.
      for (const instance of this.instances) instance.peers.fill(0);
      return;
    }
    const sums = this.upstreams.map((_, index) =>
      this.instances.reduce((sum, { own }) => sum + own[index]!, 0),
    );
    const owns = this.instances.map(({ own }) => [...own]);
    this.schedule(this.nowMs + this.load.reportAgeMs, () => {
      this.instances.forEach((instance, position) => {
        instance.peers = sums.map((sum, index) => sum - owns[position]![index]!);
        if (this.rule === 'polls' || instance.queue.length === 0) return;
        this.offer(instance, 0);
        this.refuse(instance);
      });
    });
  }
}

function describe({ runs }: Instance, { outcome, atMs }: Call): WaitingRequest {
  const { kind, workspace } = outcome;
  const run = runs.find(kind.name);
  return {
    workspace: `workspace-${workspace}`,
    priority: 1,
    isResumed: false,
    arrivedMs: atMs,
    goalStartMs: atMs + kind.goalMs - (run?.meanMs ?? 0),
    latestStartMs: atMs + kind.deadlineMs - (run?.highMs ?? 0) - 20,
    workMs: run?.meanMs ?? 100,
    value: kind.tokens,
  };
}
