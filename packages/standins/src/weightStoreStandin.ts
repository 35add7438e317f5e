import { createRandom, systemClock } from '@cactusstair/utils';
import type { Clock, Random } from '@cactusstair/utils';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { FaultTable } from './faultTable.js';
import type { HttpStandinOptions } from './httpStandin.js';
import { HttpStandin, isControlRequest } from './httpStandin.js';

/** Options of the weight store. */
export interface WeightStoreOptions extends HttpStandinOptions {
  /** Total rate of all transfers. Default 500. */
  megabytesPerSecond?: number;
  /** Size of the token bucket. Default 100. */
  burstMegabytes?: number;
  /** Clock of the token bucket. Default: the system clock. */
  clock?: Clock;
}

/** Faults of the weight store, by name. */
export const weightStoreFaults = {
  /** Answers 503. */
  outage: {},
  /** Accepts requests but never answers. */
  freeze: {},
  /** Divides the rate by `factor`. */
  slow: { factor: z.number().positive() },
  /** Fails transfers after they complete. */
  errorRate: { probability: z.number().min(0).max(1) },
} satisfies Record<string, z.ZodRawShape>;

/** One transfer. Times are wall-clock milliseconds. */
export interface TransferEntry {
  model: string;
  version: string;
  megabytes: number;
  engine: string;
  requestedAtMs: number;
  endedAtMs?: number;
  outcome: 'queued' | 'done' | 'failed';
}

const transferSchema = z.object({
  model: z.string(),
  version: z.string(),
  megabytes: z.number().positive(),
  engine: z.string().default(''),
});

const DEFAULT_MEGABYTES_PER_SECOND = 500;
const DEFAULT_BURST_MEGABYTES = 100;

/** A rate-limited store of model weights: a token bucket that serves transfers in order of arrival. */
export class WeightStoreStandin extends HttpStandin {
  readonly faults = new FaultTable(weightStoreFaults);

  readonly journal: TransferEntry[] = [];

  private readonly random: Random;

  private readonly abortController = new AbortController();

  private lastTransfer: Promise<void> = Promise.resolve();

  private tokens: number;

  private readonly clock: Clock;

  private refilledAtMs: number;

  constructor(private readonly options: WeightStoreOptions = {}) {
    super(options);
    this.random = createRandom(options.seed ?? 1);
    this.clock = options.clock ?? systemClock;
    this.refilledAtMs = this.clock.monotonicMs();
    this.tokens = options.burstMegabytes ?? DEFAULT_BURST_MEGABYTES;
    this.faults.register(this.app);
    this.app.addHook('onRequest', async (request, reply) => {
      if (isControlRequest(request)) return;
      if (this.faults.get('freeze')) reply.hijack();
      else if (this.faults.get('outage')) await reply.code(503).send({ error: 'unavailable' });
    });
    this.app.post('/v1/loads', (request, reply) => this.transfer(request, reply));
    this.app.get('/journal', () => ({ transfers: this.journal }));
  }

  protected override beforeClose(): void {
    this.abortController.abort();
  }

  private async transfer(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const body = transferSchema.safeParse(request.body);
    if (!body.success) return reply.code(400).send({ error: z.prettifyError(body.error) });
    const entry: TransferEntry = { ...body.data, requestedAtMs: Date.now(), outcome: 'queued' };
    this.journal.push(entry);
    const turn = this.lastTransfer.then(() => this.takeTokens(entry.megabytes));
    this.lastTransfer = turn;
    await turn;
    const failing = this.faults.get('errorRate');
    const isFailed =
      this.abortController.signal.aborted ||
      (failing !== undefined && this.random.next() < failing.probability);
    entry.outcome = isFailed ? 'failed' : 'done';
    entry.endedAtMs = Date.now();
    if (isFailed) return reply.code(500).send({ error: 'the transfer failed' });
    return { ok: true, durationMs: entry.endedAtMs - entry.requestedAtMs };
  }

  private async takeTokens(megabytes: number): Promise<void> {
    const rate =
      (this.options.megabytesPerSecond ?? DEFAULT_MEGABYTES_PER_SECOND) /
      (this.faults.get('slow')?.factor ?? 1);
    const burst = this.options.burstMegabytes ?? DEFAULT_BURST_MEGABYTES;
    const elapsedMs = this.clock.monotonicMs() - this.refilledAtMs;
    this.tokens = Math.min(burst, this.tokens + (elapsedMs / 1000) * rate);
    this.refilledAtMs = this.clock.monotonicMs();
    this.tokens -= megabytes;
    if (this.tokens >= 0) return;
    await this.clock.sleep((-this.tokens / rate) * 1000, this.abortController.signal);
  }
}
