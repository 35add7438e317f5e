import { CascadePolicy } from '@cactusstair/routing';
import type { CascadeRating, CascadeRequest } from '@cactusstair/routing';
import { createRandom, systemClock } from '@cactusstair/utils';
import type { Clock } from '@cactusstair/utils';

import { createRequests, QUALITY_TARGET, TARGET_SHARE, workspaceNames } from './cascadeWorkload.js';
import type { CascadeVariant, SimulatedRequest } from './cascadeWorkload.js';
import type { Scenario } from './scenario.js';

const REQUESTS = 48_000;
const QUICK_REQUESTS = 12_000;
const INSTANCES = 3;
const EXCHANGE_PERIOD_MS = 30_000;

const VARIANTS: CascadeVariant[] = [
  { title: 'steady', inTimeShare: 0.4, lateShare: 0.1, meanDelayMs: 120_000, drift: 0 },
  {
    title: 'cheapest model turns bad in the middle',
    inTimeShare: 0.4,
    lateShare: 0.1,
    meanDelayMs: 120_000,
    drift: 0.8,
  },
  {
    title: 'few ratings, none for a third of the run',
    inTimeShare: 0.05,
    lateShare: 0.03,
    meanDelayMs: 600_000,
    outage: { from: 0.4, to: 0.73 },
    drift: 0,
  },
];

/** Cost of a request and whether its answer met the quality target. */
interface Outcome {
  cost: number;
  met: boolean;
}

interface Contender {
  name: string;
  run(requests: SimulatedRequest[]): Outcome[];
}

function meetsTarget(request: SimulatedRequest, rung: number): boolean {
  return (request.ratings[rung] ?? 0) >= QUALITY_TARGET;
}

function getCost(request: SimulatedRequest, rung: number): number {
  return request.rungs[rung]?.expectedCost ?? 0;
}

const alwaysStrongest: Contender = {
  name: 'always strongest',
  run: (requests) =>
    requests.map((request) => ({ cost: getCost(request, 2), met: meetsTarget(request, 2) })),
};

const alwaysCheapest: Contender = {
  name: 'always cheapest',
  run: (requests) =>
    requests.map((request) => ({ cost: getCost(request, 0), met: meetsTarget(request, 0) })),
};

/**
 * Starts at the cheapest rung and escalates answers whose rating misses the target.
 *
 * @param escalatesUnrated whether answers without a rating in time escalate too.
 */
function createLadder(name: string, escalatesUnrated: boolean): Contender {
  const runOne = (request: SimulatedRequest): Outcome => {
    let rung = 0;
    let cost = getCost(request, 0);
    let remainingMs = request.deadlineMs - (request.rungs[0]?.expectedLatencyMs ?? 0);
    for (; rung < request.rungs.length - 1; rung += 1) {
      const missed = request.inTime[rung] ? !meetsTarget(request, rung) : escalatesUnrated;
      const nextMs = request.rungs[rung + 1]?.expectedLatencyMs ?? 0;
      if (!missed || request.streaming || nextMs > remainingMs) break;
      remainingMs -= nextMs;
      cost += getCost(request, rung + 1);
    }
    return { cost, met: meetsTarget(request, rung) };
  };
  return { name, run: (requests) => requests.map(runOne) };
}

/**
 * Baseline with access to the true quality of each answer. Per workspace and class, it moves
 * requests to the cheapest rung that meets the target, lowest extra cost first, until the share is
 * reached.
 */
const oracle: Contender = {
  name: 'oracle',
  run: (requests) => {
    const outcomes = alwaysCheapest.run(requests);
    const groups = new Map<string, number[]>();
    requests.forEach(({ workspace, requestClass }, index) => {
      const key = `${workspace} ${requestClass}`;
      const group = groups.get(key) ?? [];
      group.push(index);
      groups.set(key, group);
    });
    groups.forEach((indices) => {
      const needed = Math.ceil(TARGET_SHARE * indices.length);
      const met = indices.filter((index) => outcomes[index]?.met).length;
      indices
        .flatMap((index) => {
          const request = requests[index];
          if (!request || outcomes[index]?.met) return [];
          const rung = request.ratings.findIndex((rating) => rating >= QUALITY_TARGET);
          return rung < 0 ? [] : [{ index, cost: getCost(request, rung) - getCost(request, 0) }];
        })
        .sort((a, b) => a.cost - b.cost)
        .slice(0, Math.max(0, needed - met))
        .forEach(({ index, cost }) => {
          outcomes[index] = { cost: (outcomes[index]?.cost ?? 0) + cost, met: true };
        });
    });
    return outcomes;
  },
};

/** Runs the cascade policy on several instances that exchange their evidence. */
class PolicyRun {
  private nowMs = 0;

  private readonly pending: { dueMs: number; instance: number; rating: CascadeRating }[] = [];

  private nextExchangeMs = EXCHANGE_PERIOD_MS;

  private readonly policies: CascadePolicy[];

  constructor(seed: number) {
    const clock: Clock = {
      monotonicMs: () => this.nowMs,
      wallMs: () => this.nowMs,
      sleep: systemClock.sleep,
    };
    this.policies = Array.from(
      { length: INSTANCES },
      (_, index) =>
        new CascadePolicy({
          instance: `instance-${index}`,
          incarnation: 1,
          clock,
          random: createRandom(seed * 31 + index),
        }),
    );
  }

  run(requests: SimulatedRequest[]): Outcome[] {
    return requests.map((request, index) => {
      this.nowMs = request.atMs;
      this.deliverRatings();
      this.exchangeEvidence();
      return this.answer(request, index % INSTANCES);
    });
  }

  private answer(simulated: SimulatedRequest, instance: number): Outcome {
    const policy = this.policies[instance];
    if (!policy) throw new Error(`there is no instance ${instance}`);
    const request: CascadeRequest = {
      workspace: simulated.workspace,
      requestClass: simulated.requestClass,
      cascade: { name: 'bench', qualityTarget: QUALITY_TARGET, targetShare: TARGET_SHARE },
      rungs: simulated.rungs,
      deadlineMs: simulated.deadlineMs,
      streaming: simulated.streaming,
    };
    let { rung } = policy.chooseStart(request);
    let cost = getCost(simulated, rung);
    let remainingMs = request.deadlineMs - (request.rungs[rung]?.expectedLatencyMs ?? 0);
    let escalated = false;
    for (;;) {
      const rating = simulated.inTime[rung] ? simulated.ratings[rung] : undefined;
      this.rate(simulated, rung, instance, escalated);
      if (!policy.shouldEscalate({ ...request, rung, rating, remainingMs })) break;
      escalated ||= rating !== undefined;
      rung += 1;
      cost += getCost(simulated, rung);
      remainingMs -= request.rungs[rung]?.expectedLatencyMs ?? 0;
    }
    return { cost, met: meetsTarget(simulated, rung) };
  }

  private rate(
    simulated: SimulatedRequest,
    rung: number,
    instance: number,
    escalated: boolean,
  ): void {
    const { workspace, requestClass, rungs, ratings, inTime, ratedAfterMs } = simulated;
    const info = rungs[rung];
    const value = ratings[rung];
    const delayMs = inTime[rung] ? 0 : ratedAfterMs[rung];
    if (!info || value === undefined || delayMs === undefined) return;
    const { model, version } = info;
    const rating = { workspace, requestClass, model, version, rating: value, escalated };
    if (delayMs === 0) this.policies[instance]?.recordRating(rating);
    else this.pending.push({ dueMs: this.nowMs + delayMs, instance, rating });
  }

  private deliverRatings(): void {
    for (let index = this.pending.length - 1; index >= 0; index -= 1) {
      const entry = this.pending[index];
      if (!entry || entry.dueMs > this.nowMs) continue;
      this.pending.splice(index, 1);
      this.policies[entry.instance]?.recordRating(entry.rating);
    }
  }

  private exchangeEvidence(): void {
    if (this.nowMs < this.nextExchangeMs) return;
    this.nextExchangeMs = this.nowMs + EXCHANGE_PERIOD_MS;
    const exports = this.policies.map((policy) => policy.exportEvidence());
    this.policies.forEach((policy) => {
      exports.forEach((evidence) => policy.importEvidence(evidence));
    });
  }
}

interface Summary {
  cost: number;
  share: number;
}

function summarize(
  requests: SimulatedRequest[],
  outcomes: Outcome[],
  keep: (request: SimulatedRequest, index: number) => boolean,
): Summary {
  const kept = outcomes.filter((_, index) => {
    const request = requests[index];
    return request !== undefined && keep(request, index);
  });
  return {
    cost: kept.reduce((sum, outcome) => sum + outcome.cost, 0),
    share: kept.filter((outcome) => outcome.met).length / Math.max(1, kept.length),
  };
}

function createTable(variant: CascadeVariant, count: number, seed: number) {
  const requests = createRequests(variant, count, seed);
  const contenders: Contender[] = [
    { name: 'cascade policy', run: (all) => new PolicyRun(seed).run(all) },
    alwaysStrongest,
    alwaysCheapest,
    createLadder('fixed ladder', false),
    createLadder('fixed ladder, unrated escalate', true),
    oracle,
  ];
  const results = contenders.map(({ name, run }) => ({ name, outcomes: run(requests) }));
  const findOutcomes = (name: string) =>
    results.find((result) => result.name === name)?.outcomes ?? [];
  const scopes: [string, (request: SimulatedRequest, index: number) => boolean][] = [
    ['all', () => true],
    ['all, last quarter', (_, index) => index >= 0.75 * count],
    ...workspaceNames.map((name): [string, (request: SimulatedRequest) => boolean] => [
      name,
      (request) => request.workspace === name,
    ]),
  ];
  const rows = scopes.flatMap(([scope, keep]) => {
    const strongest = summarize(requests, findOutcomes('always strongest'), keep);
    const best = summarize(requests, findOutcomes('oracle'), keep);
    return results.map(({ name, outcomes }) => {
      const { cost, share } = summarize(requests, outcomes, keep);
      const ratio = (other: number) => (cost / other).toFixed(3);
      return [
        scope,
        name,
        share.toFixed(3),
        share >= TARGET_SHARE ? 'yes' : 'no',
        ratio(strongest.cost),
        ratio(best.cost),
      ];
    });
  });
  return {
    title: `cascade: ${variant.title} (${count} requests)`,
    columns: ['requests', 'policy', 'share at target', 'met', 'cost / strongest', 'cost / oracle'],
    rows,
  };
}

/** Compares the cost at the quality target with fixed policies and an oracle. */
export const cascadeScenario: Scenario = {
  summary: `cost while ${TARGET_SHARE} of the answers have a rating of ${QUALITY_TARGET} or more`,
  run: ({ seed, quick }) => {
    const count = quick ? QUICK_REQUESTS : REQUESTS;
    return Promise.resolve({
      scenario: 'cascade',
      seed,
      quick,
      plots: [],
      tables: VARIANTS.map((variant) => createTable(variant, count, seed)),
    });
  },
};
