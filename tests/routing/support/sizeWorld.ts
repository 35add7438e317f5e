import type { Random } from '@cactusstair/utils';

/** A kind of request of a simulated deployment. */
export interface RequestKind {
  name: string;
  /** Requests relative to the other kinds. */
  weight: number;
  sharedTokens: number;
  ownTokens: number;
  /** Spread of the logarithm of `ownTokens`. */
  ownSpread: number;
  events: number;
  eventSpread: number;
  goalMs: number;
  deadlineMs: number;
  value: number;
  lateValue: number;
}

/** One model size. */
export interface SimulatedSize {
  /** Processing time relative to the engine's step. */
  timeFactor: number;
  /** Share of the requests for which the size is good enough. */
  adequacy: number;
  /** Price per 1,000 generated tokens that is paid. */
  price: number;
  /** Whether the configuration states the price; true if absent. */
  isPriced?: boolean;
  /** Whether engines run the size; true if absent. */
  isServed?: boolean;
}

/** Engines, requests and models of a simulated deployment. */
export interface Deployment {
  name: string;
  engines: number;
  slots: number;
  stepMs: number;
  stepMsPerSlot: number;
  promptTokensPerMs: number;
  eventTokens: number;
  kinds: readonly RequestKind[];
  sizes: readonly SimulatedSize[];
  /** Largest load at which the rule before serves 0.9 of the value in time (seed 1). */
  capacityPerSecond: number;
}

/** How the confidence of an answer is related to whether it is good enough. */
export interface Calibration {
  middle: number;
  slope: number;
}

/** One request with what no rule knows before the answer. */
export interface SimulatedRequest {
  kind: RequestKind;
  arrivedMs: number;
  promptTokens: number;
  uncachedTokens: number;
  outputTokens: number;
  hintTokens: number;
  /** Whether each size is good enough, and its confidence. */
  isGood: readonly boolean[];
  confidence: readonly number[];
}

function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(Math.max(1e-12, random.next())));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Draws from a log-normal distribution of the given mean. */
function drawLogNormal(random: Random, mean: number, spread: number): number {
  return mean * Math.exp(spread * drawNormal(random) - (spread * spread) / 2);
}

/** A fifth of the answers has no confidence, a fifth full confidence. */
function drawConfidence(random: Random): number {
  const point = random.next();
  if (point < 0.2) return 0;
  return point < 0.4 ? 1 : random.next();
}

/** Draws a confidence of an answer of which it is known whether it is good enough. */
function drawConfidenceOf(random: Random, isGood: boolean, calibration: Calibration): number {
  for (let tries = 0; tries < 50; tries += 1) {
    const confidence = drawConfidence(random);
    const chance = 1 / (1 + Math.exp(-calibration.slope * (confidence - calibration.middle)));
    if (random.next() < chance === isGood) return confidence;
  }
  return drawConfidence(random);
}

function chooseKind(random: Random, kinds: readonly RequestKind[]): RequestKind {
  let point = random.next() * kinds.reduce((sum, kind) => sum + kind.weight, 0);
  for (const kind of kinds) {
    point -= kind.weight;
    if (point < 0) return kind;
  }
  return kinds.at(-1)!;
}

/** Draws a request that arrives at `arrivedMs`. */
export function drawRequest(
  random: Random,
  { kinds, sizes, eventTokens }: Deployment,
  arrivedMs: number,
  calibration: Calibration,
): SimulatedRequest {
  const kind = chooseKind(random, kinds);
  const own = Math.min(8 * kind.ownTokens, drawLogNormal(random, kind.ownTokens, kind.ownSpread));
  const events = Math.max(1, drawLogNormal(random, kind.events, kind.eventSpread));
  const difficulty = random.next();
  const isGood = sizes.map(({ adequacy }) => difficulty <= adequacy);
  const outputTokens = Math.round(Math.min(3 * kind.events, events) * eventTokens);
  return {
    kind,
    arrivedMs,
    promptTokens: Math.round(kind.sharedTokens + own),
    uncachedTokens: Math.round(own + (random.next() < 0.7 ? 0 : kind.sharedTokens)),
    outputTokens,
    hintTokens: Math.round(outputTokens * Math.exp(0.5 * drawNormal(random))),
    isGood,
    confidence: isGood.map((good) => drawConfidenceOf(random, good, calibration)),
  };
}

/** Sizes of the platform. */
export const platformSizes: readonly SimulatedSize[] = [
  { timeFactor: 0.3, adequacy: 0.56, price: 0.018 },
  { timeFactor: 0.8, adequacy: 0.65, price: 0.13 },
  { timeFactor: 3, adequacy: 1, price: 0.27 },
];

type KindTimes = Pick<
  RequestKind,
  'weight' | 'goalMs' | 'deadlineMs' | 'value' | 'lateValue' | 'events'
>;

function createKinds(long: KindTimes, text: KindTimes, short: KindTimes): RequestKind[] {
  return [
    {
      name: 'long',
      sharedTokens: 5382,
      ownTokens: 6610,
      ownSpread: 1.2,
      eventSpread: 0.44,
      ...long,
    },
    { name: 'text', sharedTokens: 198, ownTokens: 628, ownSpread: 1, eventSpread: 0.69, ...text },
    {
      name: 'short',
      sharedTokens: 568,
      ownTokens: 1800,
      ownSpread: 1.2,
      eventSpread: 1.2,
      ...short,
    },
  ];
}

/** W of the work page, with fewer engines. */
export const largeBatches: Deployment = {
  name: 'W: 64 slots',
  capacityPerSecond: 32,
  engines: 10,
  slots: 64,
  stepMs: 2.89,
  stepMsPerSlot: 0.101,
  promptTokensPerMs: 55,
  eventTokens: 9,
  kinds: createKinds(
    { weight: 50, goalMs: 8019, deadlineMs: 20_049, value: 1.8, lateValue: 1.4, events: 42 },
    { weight: 144, goalMs: 2008, deadlineMs: 15_060, value: 2.9, lateValue: 0.59, events: 32 },
    { weight: 73, goalMs: 2010, deadlineMs: 5024, value: 0.39, lateValue: 0.2, events: 3 },
  ),
  sizes: platformSizes,
};

/** H of the work page, with fewer engines. */
export const smallBatches: Deployment = {
  name: 'H: 12 slots',
  capacityPerSecond: 184,
  engines: 12,
  slots: 12,
  stepMs: 3.09,
  stepMsPerSlot: 0.0165,
  promptTokensPerMs: 61.8,
  eventTokens: 10,
  kinds: createKinds(
    { weight: 64, goalMs: 4019, deadlineMs: 20_097, value: 4.3, lateValue: 0.43, events: 38 },
    { weight: 86, goalMs: 2008, deadlineMs: 15_060, value: 2.2, lateValue: 0.22, events: 29 },
    { weight: 124, goalMs: 2010, deadlineMs: 5024, value: 0.37, lateValue: 0.037, events: 2 },
  ),
  sizes: platformSizes,
};

const earlier = { stepMs: 3.41, stepMsPerSlot: 0.097, promptTokensPerMs: 112, eventTokens: 5 };

/** The two deployments that were served before. */
export const earlierLargeBatches: Deployment = {
  ...earlier,
  name: 'earlier: 128 slots',
  capacityPerSecond: 29.6,
  engines: 8,
  slots: 128,
  kinds: createKinds(
    { weight: 14.4, goalMs: 3000, deadlineMs: 25_000, value: 4, lateValue: 1.2, events: 76 },
    { weight: 12.3, goalMs: 1500, deadlineMs: 25_000, value: 1.9, lateValue: 0.56, events: 58 },
    { weight: 23.5, goalMs: 1500, deadlineMs: 5000, value: 0.36, lateValue: 0.11, events: 5 },
  ),
  sizes: platformSizes,
};

export const earlierSmallBatches: Deployment = {
  ...earlier,
  name: 'earlier: 64 slots',
  capacityPerSecond: 29.3,
  engines: 13,
  slots: 64,
  kinds: createKinds(
    { weight: 20.4, goalMs: 3000, deadlineMs: 25_000, value: 3.9, lateValue: 1.9, events: 76 },
    { weight: 15.6, goalMs: 1000, deadlineMs: 25_000, value: 2, lateValue: 0.99, events: 58 },
    { weight: 34.4, goalMs: 1000, deadlineMs: 5000, value: 0.34, lateValue: 0.17, events: 5 },
  ),
  sizes: platformSizes,
};

const [small, middle, large] = platformSizes as [SimulatedSize, SimulatedSize, SimulatedSize];

/** Other sets of sizes, at the engines of W. */
export const otherSizeSets: readonly Deployment[] = [
  { ...largeBatches, name: 'W: 2 sizes', sizes: [small, large] },
  {
    ...largeBatches,
    name: 'W: 5 sizes',
    sizes: [
      small,
      { timeFactor: 0.5, adequacy: 0.6, price: 0.06 },
      middle,
      { timeFactor: 1.6, adequacy: 0.8, price: 0.2 },
      large,
    ],
  },
  {
    ...largeBatches,
    name: 'W: middle size without a price',
    sizes: [small, { ...middle, isPriced: false }, large],
  },
  {
    ...largeBatches,
    name: 'W: middle size that no engine runs',
    sizes: [small, { ...middle, isServed: false }, large],
  },
  {
    ...largeBatches,
    name: 'W: largest size ten times slower',
    sizes: [small, middle, { ...large, timeFactor: 30 }],
  },
];
