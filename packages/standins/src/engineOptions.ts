import { z } from 'zod';

import { noticeFaults } from './noticeFaults.js';

/** Loaded version of a model. */
export interface LoadedVersion {
  model: string;
  version: string;
}

const probability = z.number().min(0).max(1);

/** Options of the model engine, with defaults. Times are in milliseconds. */
export const engineOptionsSchema = z.strictObject({
  listen: z.string().default('127.0.0.1:0'),
  seed: z.number().int().default(1),
  /** How long `close` waits for running requests to complete. */
  closeGraceMs: z.number().nonnegative().default(10_000),
  name: z.string().default('engine'),
  zone: z.string().default(''),
  /** Versions that are loaded at start and after each crash. */
  versions: z
    .array(z.strictObject({ model: z.string(), version: z.string() }))
    .default([{ model: 'small', version: '1' }]),
  /** Mean quality by `model@version`; 0.8 for versions that are not listed. */
  quality: z.record(z.string(), probability).default({}),
  /** Time to the first token of a prompt that is not cached. */
  firstTokenMs: z.number().nonnegative().default(40),
  /** Share of `firstTokenMs` that a fully cached prompt saves. */
  cacheSaving: probability.default(0.8),
  /** Time between tokens of a request that runs alone. */
  tokenMs: z.number().nonnegative().default(5),
  /** Growth of `tokenMs` with each further active request: 0.05 is 5% each. */
  batchFactor: z.number().nonnegative().default(0.05),
  slots: z.number().int().positive().default(16),
  queueLimit: z.number().int().nonnegative().default(256),
  /** Number of tokens in the answer to a request that sets no limit. */
  defaultTokens: z.number().int().positive().default(32),
  cacheBlocks: z.number().int().positive().default(512),
  blockChars: z.number().int().positive().default(64),
  cacheEventLagMs: z.number().nonnegative().default(300),
  cacheEventLoss: probability.default(0.05),
  loadLagMs: z.number().nonnegative().default(300),
  /** Whether orders with an outdated fencing token are refused. */
  checksFencing: z.boolean().default(true),
  /** Base URL of the weight store; without it a load takes `loadMs`. */
  weightStore: z.string().optional(),
  weightMegabytes: z.number().positive().default(100),
  loadMs: z.number().nonnegative().default(50),
});

/** Options of the model engine after defaults. */
export type EngineSettings = z.output<typeof engineOptionsSchema>;

/** Options of the model engine. */
export type EngineOptions = z.input<typeof engineOptionsSchema>;

/** Faults of the engine, by name. */
export const engineFaults = {
  /** Crashes now: resets all connections and restarts with its initial state after `downMs`. */
  crash: { downMs: z.number().nonnegative().default(1000) },
  /** Crashes on every request whose prompt contains `marker`, after `afterTokens` tokens. */
  crashOnMarker: {
    marker: z.string().default('CRASH-ENGINE'),
    downMs: z.number().nonnegative().default(1000),
    afterTokens: z.number().int().nonnegative().default(0),
  },
  /** Accepts requests but never answers. */
  freeze: {},
  /** Stops all traffic on open connections without closing them; new connections work. */
  silence: {},
  /** Resets the connection of a stream after `afterTokens` tokens. */
  cutStream: { afterTokens: z.number().int().nonnegative(), probability: probability.default(1) },
  /** Replaces `text` by `replacement` in the event after `afterTokens` tokens of a stream. */
  spoilEvent: {
    afterTokens: z.number().int().nonnegative(),
    text: z.string(),
    replacement: z.string(),
  },
  /** Swaps the answers of pairs of concurrent requests. */
  swapAnswers: { waitMs: z.number().nonnegative().default(2000) },
  /** Fails requests with `status`, before they run. */
  errorRate: {
    probability,
    status: z.number().int().min(400).max(599).default(500),
    model: z.string().optional(),
    version: z.string().optional(),
  },
  /** Multiplies all times. */
  slow: { factor: z.number().positive() },
  /** Lowers the mean quality of a version by `drop`. */
  qualityDrop: { model: z.string(), version: z.string(), drop: probability },
  /** Announces that the engine is shutting down; it refuses requests after `refuseAfterMs`. */
  leaving: { refuseAfterMs: z.number().nonnegative().default(3_600_000) },
  ...noticeFaults,
  /** Runs a request without `stream` and then resets the connection instead of answering. */
  loseAnswer: { probability: probability.default(1) },
} satisfies Record<string, z.ZodRawShape>;
