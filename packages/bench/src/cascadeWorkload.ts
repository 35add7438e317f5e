import type { RungInfo } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';

/** Share and delay of ratings, and changes during a run. */
export interface CascadeVariant {
  title: string;
  /** Share of non-streamed answers whose rating arrives in time to escalate. */
  inTimeShare: number;
  /** Share of the other answers that receive a late rating. */
  lateShare: number;
  meanDelayMs: number;
  /** Part of the run without ratings, as shares of its length. */
  outage?: { from: number; to: number };
  /** Drop in the cheapest model's skill in the second half of the run. */
  drift: number;
}

/** A request with the true quality of each rung's answer; policies have no access to `ratings`. */
export interface SimulatedRequest {
  atMs: number;
  workspace: string;
  requestClass: 'short' | 'long';
  streaming: boolean;
  deadlineMs: number;
  rungs: RungInfo[];
  ratings: number[];
  inTime: boolean[];
  /** Delay of the late rating of each rung's answer; undefined if there is none. */
  ratedAfterMs: (number | undefined)[];
}

export const QUALITY_TARGET = 0.7;
export const TARGET_SHARE = 0.9;
const REQUESTS_PER_SECOND = 10;

interface Model {
  model: string;
  cost: number;
  latencyMs: number;
  skill: number;
}

const MODELS: Model[] = [
  { model: 'small', cost: 1, latencyMs: 300, skill: 1.2 },
  { model: 'medium', cost: 4, latencyMs: 700, skill: 1.9 },
  { model: 'large', cost: 15, latencyMs: 1800, skill: 2.7 },
];

interface RequestKind {
  requestClass: 'short' | 'long';
  difficulty: number;
}

const REQUEST_KINDS: Record<string, RequestKind> = {
  rulesQuery: { requestClass: 'short', difficulty: -0.2 },
  tagging: { requestClass: 'short', difficulty: 0 },
  challengeLetter: { requestClass: 'short', difficulty: 0.7 },
  paintingGuide: { requestClass: 'long', difficulty: 0.5 },
  seasonReview: { requestClass: 'long', difficulty: 1.1 },
  layoutDraft: { requestClass: 'long', difficulty: 1.3 },
};

// Shares of the traffic, and of the request kinds in each workspace. `newcomer` has few ratings.
const WORKSPACES: Record<string, { share: number; mix: Record<string, number> }> = {
  rules: { share: 0.35, mix: { rulesQuery: 0.75, tagging: 0.15, seasonReview: 0.1 } },
  club: { share: 0.35, mix: { rulesQuery: 0.3, challengeLetter: 0.4, seasonReview: 0.3 } },
  decals: { share: 0.28, mix: { tagging: 0.3, paintingGuide: 0.4, layoutDraft: 0.3 } },
  newcomer: { share: 0.02, mix: { rulesQuery: 0.5, challengeLetter: 0.3, layoutDraft: 0.2 } },
};

export const workspaceNames = Object.keys(WORKSPACES);

const STREAMING_SHARE = 0.3;
const SHORT_DEADLINE_SHARE = 0.1;
const LONG_CLASS_FACTOR = 5;
const DIFFICULTY_STD_DEV = 0.45;
const NOISE_STD_DEV = 0.3;

function drawKey(shares: Record<string, number>, random: Random): string {
  let draw = random.next() * Object.values(shares).reduce((a, b) => a + b, 0);
  const entries = Object.entries(shares);
  const found = entries.find(([, share]) => {
    draw -= share;
    return draw < 0;
  });
  return (found ?? entries[0])?.[0] ?? '';
}

/** Draws a standard normal value (Box-Muller transform). */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function createRequest(
  variant: CascadeVariant,
  progress: number,
  atMs: number,
  random: Random,
): SimulatedRequest {
  const shares = Object.fromEntries(
    Object.entries(WORKSPACES).map(([name, { share }]) => [name, share]),
  );
  const workspace = drawKey(shares, random);
  const kind = REQUEST_KINDS[drawKey(WORKSPACES[workspace]?.mix ?? {}, random)];
  const requestClass = kind?.requestClass ?? 'short';
  const difficulty = (kind?.difficulty ?? 0) + DIFFICULTY_STD_DEV * drawNormal(random);
  const size = (requestClass === 'long' ? LONG_CLASS_FACTOR : 1) * (0.5 + random.next());
  const streaming = random.next() < STREAMING_SHARE;
  const slowest = (MODELS.at(-1)?.latencyMs ?? 0) * size;
  const hasShortDeadline = random.next() < SHORT_DEADLINE_SHARE;
  const { outage } = variant;
  const isOutage = outage !== undefined && progress >= outage.from && progress < outage.to;
  const request: SimulatedRequest = {
    atMs,
    workspace,
    requestClass,
    streaming,
    // A short deadline allows one answer of the strongest model, but no escalation to it.
    deadlineMs: (hasShortDeadline ? 1.05 : 4) * slowest,
    rungs: [],
    ratings: [],
    inTime: [],
    ratedAfterMs: [],
  };
  MODELS.forEach(({ model, cost, latencyMs, skill }, index) => {
    const drifted = skill - (index === 0 && progress >= 0.5 ? variant.drift : 0);
    const surplus = drifted - difficulty + NOISE_STD_DEV * drawNormal(random);
    request.rungs.push({
      model,
      version: 'v1',
      expectedCost: cost * size,
      expectedLatencyMs: latencyMs * size,
    });
    // A surplus of 0.42 gives the rating 0.7, which is the quality target.
    request.ratings.push(0.5 + 0.5 * Math.tanh(surplus));
    const inTime = random.next() < variant.inTimeShare;
    const late = random.next() < variant.lateShare;
    const delayMs = -variant.meanDelayMs * Math.log(1 - random.next());
    request.inTime.push(inTime && !streaming && !isOutage);
    request.ratedAfterMs.push(late && !isOutage ? delayMs : undefined);
  });
  return request;
}

/** Creates the requests of a run, which are the same for all policies. */
export function createRequests(
  variant: CascadeVariant,
  count: number,
  seed: number,
): SimulatedRequest[] {
  const random = createRandom(seed);
  return Array.from({ length: count }, (_, index) =>
    createRequest(variant, index / count, (index * 1000) / REQUESTS_PER_SECOND, random),
  );
}
