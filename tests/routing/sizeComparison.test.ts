import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { sizeRules } from './support/sizeRules.js';
import { simulateSizes } from './support/sizeSimulation.js';
import type { SimulationResult, SizeRule } from './support/sizeSimulation.js';
import type { Calibration, Deployment } from './support/sizeWorld.js';
import {
  earlierLargeBatches,
  earlierSmallBatches,
  largeBatches,
  otherSizeSets,
  smallBatches,
} from './support/sizeWorld.js';

const SEEDS = [1, 2, 3];
/** The calibration that the rule assumes. */
const assumed: Calibration = { middle: 0.45, slope: 10 };

/** Load relative to the deployment's capacity, and the share of slow engines. */
interface Load {
  name: string;
  factor: number;
  slowShare: number;
}

const normal: Load = { name: 'normal', factor: 0.6, slowShare: 0 };
const overload: Load = { name: '1.7 times capacity', factor: 1.7, slowShare: 0 };
const slow: Load = { name: 'a third slow', factor: 0.6, slowShare: 1 / 3 };
const loads = [normal, overload, slow];

/** Returns the means over all seeds. */
function simulate(
  deployment: Deployment,
  load: Load,
  rule: SizeRule,
  calibration = assumed,
): SimulationResult {
  const results = SEEDS.map((seed) =>
    simulateSizes({
      deployment,
      rule,
      requestsPerSecond: load.factor * deployment.capacityPerSecond,
      seed,
      calibration,
      slowShare: load.slowShare,
    }),
  );
  const mean = (read: (result: SimulationResult) => number) =>
    results.reduce((sum, result) => sum + read(result), 0) / results.length;
  return {
    earned: mean(({ earned }) => earned),
    cost: mean(({ cost }) => cost),
    adequacy: mean(({ adequacy }) => adequacy),
    inTime: mean(({ inTime }) => inTime),
    cutOff: mean(({ cutOff }) => cutOff),
  };
}

const computeNet = ({ earned, cost }: SimulationResult) => earned - cost;

function formatResult(result: SimulationResult): string {
  const { cost, adequacy, inTime, cutOff } = result;
  const shares = [computeNet(result), cost, adequacy, inTime].map((share) => share.toFixed(3));
  return `${shares.join(' | ')} | ${cutOff.toFixed(1)}`;
}

/** Differences of two means of three seeds below this are noise. */
const NOISE = 0.01;
const COST_NOISE = 0.002;

/** Its largest size is of little use, so that the rule before hardly paid for any. */
const slowLargest = otherSizeSets.at(-1);

describe('size rules, net value | cost | adequacy in time | in time | cut off per 1,000', () => {
  for (const deployment of [
    largeBatches,
    smallBatches,
    earlierLargeBatches,
    earlierSmallBatches,
    ...otherSizeSets,
  ]) {
    for (const load of loads) {
      // A rule that is better at one load and worse at another would only move the loss.
      it(`${deployment.name}, ${load.name}: expected value is no worse than others`, (t) => {
        const results = Object.fromEntries(
          Object.entries(sizeRules).map(([key, rule]) => {
            const result = simulate(deployment, load, rule);
            t.diagnostic(
              `| ${deployment.name} | ${load.name} | ${rule.name} | ${formatResult(result)} |`,
            );
            return [key, result];
          }),
        ) as Record<keyof typeof sizeRules, SimulationResult>;
        const { thresholds, smallest, largest, expectedValue } = results;
        for (const other of [thresholds, smallest, largest]) {
          assert.ok(computeNet(expectedValue) >= computeNet(other) - NOISE);
        }
        // Models may cost more only where they bring more than that.
        const extra = expectedValue.cost - thresholds.cost;
        const gain = computeNet(expectedValue) - computeNet(thresholds);
        const maxExtra = deployment === slowLargest ? Math.max(0, gain / 2) : 0;
        assert.ok(extra <= maxExtra + COST_NOISE, `cost ${extra}`);
      });
    }
  }
});

describe('a wrong calibration of the confidence, rule before | expected value', () => {
  const [small, ...others] = largeBatches.sizes;
  const worlds: [string, Deployment, Calibration][] = [
    ['as assumed', largeBatches, assumed],
    ['half good at 0.35', largeBatches, { middle: 0.35, slope: 10 }],
    ['half good at 0.55', largeBatches, { middle: 0.55, slope: 10 }],
    ['half as steep', largeBatches, { middle: 0.45, slope: 5 }],
    ['twice as steep', largeBatches, { middle: 0.45, slope: 20 }],
    ['confidence says nothing', largeBatches, { middle: 0.45, slope: 0 }],
    [
      'smallest size good for 0.4',
      { ...largeBatches, sizes: [{ ...small!, adequacy: 0.4 }, ...others] },
      assumed,
    ],
    [
      'smallest size good for 0.64',
      { ...largeBatches, sizes: [{ ...small!, adequacy: 0.64 }, ...others] },
      assumed,
    ],
    [
      'answers worth half as much',
      {
        ...largeBatches,
        kinds: largeBatches.kinds.map((kind) => ({
          ...kind,
          value: kind.value / 2,
          lateValue: kind.lateValue / 2,
        })),
      },
      assumed,
    ],
    [
      'answers worth twice as much',
      {
        ...largeBatches,
        kinds: largeBatches.kinds.map((kind) => ({
          ...kind,
          value: kind.value * 2,
          lateValue: kind.lateValue * 2,
        })),
      },
      assumed,
    ],
  ];
  for (const [name, deployment, calibration] of worlds) {
    // A rule that is right only for the assumed calibration would lose at other models.
    it(`${name}: costs no more than it costs the rule before`, (t) => {
      const before = simulate(deployment, normal, sizeRules.thresholds, calibration);
      const now = simulate(deployment, normal, sizeRules.expectedValue, calibration);
      t.diagnostic(`| ${name} | ${formatResult(before)} | ${formatResult(now)} |`);
      assert.ok(computeNet(now) >= computeNet(before) - 0.02);
    });
  }
});
