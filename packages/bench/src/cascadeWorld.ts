import type { RungInfo } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';

/** How ratings come back and what changes during a run. */
export interface CascadeVariant {
  title: string;
  /** Share of the answers that are not streamed whose rating comes in time to escalate. */
  inTimeShare: number;
  /** Share of the other answers that are rated late. */
  lateShare: number;
  meanDelayMs: number;
  /** Part of the run, as shares of its length, in which no rating comes. */
  outage?: { from: number; to: number };
  /** Fall of the cheapest model's skill from the middle of the run. */
  drift: number;
}

/** A request with what every rung would answer; the policies do not see `ratings`. */
export interface SimulatedRequest {
  atMs: number;
  workspace: string;
  requestClass: 'short' | 'long';
  streaming: boolean;
  deadlineMs: number;
  rungs: RungInfo[];
  ratings: number[];
  inTime: boolean[];
  /** Time from the answer to its late rating per rung; undefined if it never comes. */
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

interface Kind {
  requestClass: 'short' | 'long';
  difficulty: number;
}

const KINDS: Record<string, Kind> = {
  rulesQuery: { requestClass: 'short', difficulty: -0.2 },
  tagging: { requestClass: 'short', difficulty: 0 },
  challengeLetter: { requestClass: 'short', difficulty: 0.7 },
  paintingGuide: { requestClass: 'long', difficulty: 0.5 },
  seasonReview: { requestClass: 'long', difficulty: 1.1 },
  layoutDraft: { requestClass: 'long', difficulty: 1.3 },
};

// Shares of traffic, and of the kinds within a workspace. `newcomer` has little evidence.
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
const DIFFICULTY_SPREAD = 0.45;
const NOISE_SPREAD = 0.3;

function drawKey(shares: Record<string, number>, random: Random): string {
  let draw = random.next() * Object.values(shares).reduce((a, b) => a + b, 0);
  const entries = Object.entries(shares);
  const found = entries.find(([, share]) => {
    draw -= share;
    return draw < 0;
  });
  return (found ?? entries[0])?.[0] ?? '';
}

/** A standard normal value. */
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
  const kind = KINDS[drawKey(WORKSPACES[workspace]?.mix ?? {}, random)];
  const requestClass = kind?.requestClass ?? 'short';
  const difficulty = (kind?.difficulty ?? 0) + DIFFICULTY_SPREAD * drawNormal(random);
  const size = (requestClass === 'long' ? LONG_CLASS_FACTOR : 1) * (0.5 + random.next());
  const streaming = random.next() < STREAMING_SHARE;
  const slowest = (MODELS.at(-1)?.latencyMs ?? 0) * size;
  const tight = random.next() < SHORT_DEADLINE_SHARE;
  const { outage } = variant;
  const silent = outage !== undefined && progress >= outage.from && progress < outage.to;
  const request: SimulatedRequest = {
    atMs,
    workspace,
    requestClass,
    streaming,
    // A tight deadline leaves the time for one answer of the strongest model, not for two.
    deadlineMs: (tight ? 1.05 : 4) * slowest,
    rungs: [],
    ratings: [],
    inTime: [],
    ratedAfterMs: [],
  };
  MODELS.forEach(({ model, cost, latencyMs, skill }, index) => {
    const drifted = skill - (index === 0 && progress >= 0.5 ? variant.drift : 0);
    const surplus = drifted - difficulty + NOISE_SPREAD * drawNormal(random);
    request.rungs.push({
      model,
      version: 'v1',
      expectedCost: cost * size,
      expectedLatencyMs: latencyMs * size,
    });
    // A surplus of 0.42 gives the rating 0.7.
    request.ratings.push(0.5 + 0.5 * Math.tanh(surplus));
    const inTime = random.next() < variant.inTimeShare;
    const late = random.next() < variant.lateShare;
    const delayMs = -variant.meanDelayMs * Math.log(1 - random.next());
    request.inTime.push(inTime && !streaming && !silent);
    request.ratedAfterMs.push(late && !silent ? delayMs : undefined);
  });
  return request;
}

/** Creates the requests of a run; all policies get the same ones. */
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
