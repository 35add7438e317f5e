/**
 * Uses the cascade policy as a library. Three models answer requests of one workspace, and the
 * small one meets the quality target for most of them. From the ratings, the policy learns when to
 * use it while 90 % of the answers still meet the target.
 *
 * Usage: npm run build && node examples/cascadePolicy.mjs
 */
import { CascadePolicy } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

const QUALITY_TARGET = 0.7;
const REQUESTS_PER_ROUND = 1000;
const ROUNDS = 5;

// True share of answers at the target for each model; the policy has only the ratings.
const metShares = [0.85, 0.95, 0.99];
const rungs = [
  { model: 'small', version: 'v1', expectedCost: 1, expectedLatencyMs: 200 },
  { model: 'medium', version: 'v1', expectedCost: 4, expectedLatencyMs: 600 },
  { model: 'large', version: 'v1', expectedCost: 15, expectedLatencyMs: 1500 },
];

const random = createRandom(1);
// Simulated clock that advances one second per request, so that the example runs without waiting.
let nowMs = 0;
const clock = {
  monotonicMs: () => nowMs,
  wallMs: () => nowMs,
  sleep: () => Promise.resolve(),
};
const policy = new CascadePolicy({
  instance: 'example',
  incarnation: 1,
  clock,
  random: createRandom(2),
});

/** Answers one request; returns its cost and whether the answer met the target. */
function answer() {
  nowMs += 1000;
  const request = {
    workspace: 'club',
    requestClass: 'short',
    cascade: { name: 'reviews', qualityTarget: QUALITY_TARGET, targetShare: 0.9 },
    rungs,
    deadlineMs: 5000,
    streaming: false,
  };
  const difficulty = random.next();
  let { rung } = policy.chooseStart(request);
  let cost = 0;
  let remainingMs = request.deadlineMs;
  let escalated = false;
  for (;;) {
    const { model, version, expectedCost, expectedLatencyMs } = rungs[rung];
    cost += expectedCost;
    remainingMs -= expectedLatencyMs;
    const rating = difficulty < metShares[rung] ? 0.9 : 0.4;
    // Two in five answers are rated immediately; the others are never rated.
    const known = random.next() < 0.4 ? rating : undefined;
    if (known !== undefined) {
      policy.recordRating({
        workspace: request.workspace,
        requestClass: request.requestClass,
        model,
        version,
        rating,
        escalated,
      });
    }
    if (!policy.shouldEscalate({ ...request, rung, rating: known, remainingMs })) {
      return { cost, met: rating >= QUALITY_TARGET };
    }
    escalated ||= known !== undefined;
    rung += 1;
  }
}

for (let round = 1; round <= ROUNDS; round += 1) {
  const answers = Array.from({ length: REQUESTS_PER_ROUND }, answer);
  const met = answers.filter((entry) => entry.met).length / REQUESTS_PER_ROUND;
  const cost = answers.reduce((sum, entry) => sum + entry.cost, 0) / REQUESTS_PER_ROUND;
  console.log(`round ${round}: share at target ${met.toFixed(3)}, mean cost ${cost.toFixed(2)}`);
}
const { cells } = policy.exportEvidence();
console.log(`evidence for other instances: ${cells.length} cells`);
