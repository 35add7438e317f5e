import type { Random } from '@cactusstair/utils';

/** One request of a workload, ready to be sent. */
export interface WorkloadRequest {
  kind: string;
  method: 'GET' | 'POST';
  path: string;
  body: Record<string, unknown> | undefined;
  /** Whether the answer is streamed token by token. */
  streaming: boolean;
  /** Whether the call must not run twice and needs an Idempotency-Key. */
  nonIdempotent: boolean;
}

/** Models and service that the requests are sent to. */
export interface WorkloadTargets {
  /** Model or cascade for short requests. */
  shortModel: string;
  /** Model or cascade for long requests. */
  longModel: string;
  /** Path of a plain service, for example `/services/ladder`; if unset, no service is called. */
  servicePath?: string;
}

interface RequestKind {
  name: string;
  /** Relative rate at an hour of the day in 0..24. */
  getRate: (hour: number) => number;
  create: (random: Random, targets: WorkloadTargets) => WorkloadRequest;
}

const HOURS_PER_DAY = 24;
const PEAK_WIDTH_HOURS = 2;
const SHORT_TOKENS = 24;
const LONG_TOKENS = 300;
const SHARED_PREFIXES = 20;
const SHARED_PREFIX_CHARACTERS = 512;

/** Returns a bell curve over the hours of the day, with the value 1 at `peakHour`. */
function createPeak(peakHour: number): (hour: number) => number {
  return (hour) => {
    const distance = Math.min(Math.abs(hour - peakHour), HOURS_PER_DAY - Math.abs(hour - peakHour));
    return Math.exp(-0.5 * (distance / PEAK_WIDTH_HOURS) ** 2);
  };
}

const getMorningRate = createPeak(9);
const getEveningRate = createPeak(19);

function createChat(
  kind: string,
  model: string,
  tokens: number,
  streaming: boolean,
  random: Random,
): WorkloadRequest {
  // Conversations of one kind share a system prompt, which the engines can cache.
  const prefix = `${kind} context ${random.nextInt(SHARED_PREFIXES)} `.padEnd(
    SHARED_PREFIX_CHARACTERS,
    '.',
  );
  const question = `question ${random.nextInt(1_000_000)}`;
  return {
    kind,
    method: 'POST',
    path: '/v1/chat/completions',
    body: {
      model,
      stream: streaming,
      messages: [
        { role: 'system', content: prefix },
        { role: 'user', content: question },
      ],
      metadata: { expected_tokens: String(Math.ceil(tokens * (0.5 + random.next()))) },
    },
    streaming,
    nonIdempotent: false,
  };
}

function createServiceCall(
  kind: string,
  method: 'GET' | 'POST',
  path: string,
  random: Random,
): WorkloadRequest {
  const subject = random.nextInt(1000);
  return {
    kind,
    method,
    path: method === 'GET' ? `${path}?id=${subject}` : path,
    body: method === 'GET' ? undefined : { id: subject },
    streaming: false,
    nonIdempotent: method === 'POST',
  };
}

const leagueKinds: RequestKind[] = [
  {
    name: 'rules-query',
    getRate: (hour) => 0.2 + 6 * getMorningRate(hour) + getEveningRate(hour),
    create: (random, { shortModel }) =>
      createChat('rules-query', shortModel, SHORT_TOKENS, false, random),
  },
  {
    name: 'challenge-letter',
    getRate: (hour) => 0.1 + 2 * getMorningRate(hour),
    create: (random, { shortModel }) =>
      createChat('challenge-letter', shortModel, 2 * SHORT_TOKENS, true, random),
  },
  {
    name: 'season-review',
    getRate: (hour) => 0.05 + 2 * getEveningRate(hour),
    create: (random, { longModel }) =>
      createChat('season-review', longModel, LONG_TOKENS, true, random),
  },
  {
    name: 'match-result',
    getRate: (hour) => 0.2 + 2 * getMorningRate(hour) + getEveningRate(hour),
    create: (random, { servicePath = '' }) =>
      createServiceCall('match-result', 'POST', `${servicePath}/results`, random),
  },
  {
    name: 'standings',
    getRate: () => 1,
    create: (random, { servicePath = '' }) =>
      createServiceCall('standings', 'GET', `${servicePath}/standings`, random),
  },
];

const decalKinds: RequestKind[] = [
  {
    name: 'artwork-tag',
    getRate: () => 2,
    create: (random, { shortModel }) =>
      createChat('artwork-tag', shortModel, SHORT_TOKENS, false, random),
  },
  {
    name: 'layout-draft',
    getRate: (hour) => 0.2 + getMorningRate(hour) + 2 * getEveningRate(hour),
    create: (random, { longModel }) =>
      createChat('layout-draft', longModel, LONG_TOKENS, true, random),
  },
  {
    name: 'painting-guide',
    getRate: (hour) => 0.1 + getEveningRate(hour),
    create: (random, { longModel }) =>
      createChat('painting-guide', longModel, LONG_TOKENS, true, random),
  },
  {
    name: 'print-order',
    getRate: (hour) => 0.1 + getMorningRate(hour) + getEveningRate(hour),
    create: (random, { servicePath = '' }) =>
      createServiceCall('print-order', 'POST', `${servicePath}/orders`, random),
  },
  {
    name: 'order-status',
    getRate: () => 2,
    create: (random, { servicePath = '' }) =>
      createServiceCall('order-status', 'GET', `${servicePath}/orders`, random),
  },
];

/** Request mixes of the two kinds of users that the load tool simulates. */
export const workloads = { league: leagueKinds, decal: decalKinds } as const;

export type WorkloadName = keyof typeof workloads;

/** Generates the requests of one workload and computes their arrival rate. */
export class Workload {
  private readonly kinds: RequestKind[];

  private readonly peakRate: number;

  constructor(
    name: WorkloadName,
    private readonly targets: WorkloadTargets,
    private readonly random: Random,
  ) {
    this.kinds = workloads[name].filter((kind) => {
      const { path } = kind.create(random, targets);
      return targets.servicePath !== undefined || path.startsWith('/v1/');
    });
    const hours = Array.from({ length: HOURS_PER_DAY }, (_, hour) => hour);
    this.peakRate = Math.max(...hours.map((hour) => this.sumRates(hour)));
  }

  /** Arrival rate at an hour as a share of the day's peak, in 0..1. */
  getRelativeRate(hour: number): number {
    return Math.min(1, this.sumRates(hour) / this.peakRate);
  }

  /** Draws a random request from the mix at an hour. */
  draw(hour: number): WorkloadRequest {
    let point = this.random.next() * this.sumRates(hour);
    const chosen = this.kinds.find((kind) => {
      point -= kind.getRate(hour);
      return point < 0;
    });
    const kind = chosen ?? this.kinds[0];
    if (!kind) throw new Error('the workload has no requests');
    return kind.create(this.random, this.targets);
  }

  private sumRates(hour: number): number {
    return this.kinds.reduce((sum, kind) => sum + kind.getRate(hour), 0);
  }
}
