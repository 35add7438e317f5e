import { createRandom, systemClock } from '@cactusstair/utils';
import type { Random } from '@cactusstair/utils';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { computeQuality } from './answerText.js';
import { FaultTable } from './faultTable.js';
import type { HttpStandinOptions } from './httpStandin.js';
import { HttpStandin, isControlRequest } from './httpStandin.js';
import { RateLimiter } from './rateLimiter.js';

/** Options of the rating service. */
export interface RaterOptions extends HttpStandinOptions {
  /** Standard deviation of a rating around the true quality. Default 0.05. */
  noise?: number;
  /** Delay of each rating in milliseconds. Default 50. */
  delayMs?: number;
  /** Maximum number of ratings per second; the rest are answered 429. Default 200. */
  ratingsPerSecond?: number;
  /** Probability of no rating (status 204). Default 0.05. */
  missing?: number;
  /** Mean quality by `model@version`, for requests that state no quality. */
  quality?: Record<string, number>;
}

/** Faults of the rating service, by name. */
export const raterFaults = {
  /** Answers 503. */
  outage: {},
  /** Accepts requests but never answers. */
  freeze: {},
  /** Adds `delayMs` to each rating. */
  slow: { delayMs: z.number().nonnegative() },
  /** Returns no rating (204) with the given probability. */
  missing: { probability: z.number().min(0).max(1) },
} satisfies Record<string, z.ZodRawShape>;

/** One requested rating. */
export interface RatingEntry {
  requestId: string;
  model: string;
  version: string;
  /** True quality in 0..1. */
  quality: number;
  /** Absent if the service returned no rating. */
  rating?: number;
  atMs: number;
}

const ratingSchema = z.object({
  requestId: z.string(),
  model: z.string(),
  version: z.string(),
  /** The field `x_quality` of the answer. */
  quality: z.number().min(0).max(1).optional(),
});

const DEFAULT_NOISE = 0.05;
const DEFAULT_DELAY_MS = 50;
const DEFAULT_RATINGS_PER_SECOND = 200;
const DEFAULT_MISSING = 0.05;
const DEFAULT_MEAN_QUALITY = 0.8;

/** A rating service with noise, delay, a rate limit and missing ratings. */
export class RaterStandin extends HttpStandin {
  readonly faults = new FaultTable(raterFaults);

  readonly journal: RatingEntry[] = [];

  private readonly random: Random;

  private readonly limiter = new RateLimiter();

  constructor(private readonly options: RaterOptions = {}) {
    super(options);
    this.random = createRandom(options.seed ?? 1);
    this.faults.register(this.app);
    this.app.addHook('onRequest', async (request, reply) => {
      if (isControlRequest(request)) return;
      if (this.faults.get('freeze')) reply.hijack();
      else if (this.faults.get('outage')) await reply.code(503).send({ error: 'unavailable' });
    });
    this.app.post('/v1/ratings', (request, reply) => this.handleRating(request, reply));
    this.app.get('/journal', () => ({ ratings: this.journal }));
  }

  private async handleRating(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const body = ratingSchema.safeParse(request.body);
    if (!body.success) return reply.code(400).send({ error: z.prettifyError(body.error) });
    if (!this.limiter.tryTake(this.options.ratingsPerSecond ?? DEFAULT_RATINGS_PER_SECOND)) {
      return reply.code(429).send({ error: 'more than the allowed ratings a second' });
    }
    const { requestId, model, version } = body.data;
    const meanQuality = this.options.quality?.[`${model}@${version}`] ?? DEFAULT_MEAN_QUALITY;
    const quality = body.data.quality ?? computeQuality({ requestId, model, version, meanQuality });
    const entry: RatingEntry = { requestId, model, version, quality, atMs: Date.now() };
    this.journal.push(entry);
    const noise = this.drawNormal() * (this.options.noise ?? DEFAULT_NOISE);
    const missing =
      this.faults.get('missing')?.probability ?? this.options.missing ?? DEFAULT_MISSING;
    const isMissing = this.random.next() < missing;
    const delayMs = this.options.delayMs ?? DEFAULT_DELAY_MS;
    await systemClock.sleep(delayMs + (this.faults.get('slow')?.delayMs ?? 0));
    if (isMissing) return reply.code(204).send();
    entry.rating = Math.min(1, Math.max(0, quality + noise));
    return { rating: entry.rating };
  }

  /** Draws from the standard normal distribution (Box-Muller). */
  private drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    return radius * Math.cos(2 * Math.PI * this.random.next());
  }
}
