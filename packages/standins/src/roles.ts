import { z } from 'zod';

import { engineOptionsSchema } from './engineOptions.js';
import { EngineStandin } from './engineStandin.js';
import { PlatformStandin } from './platformStandin.js';
import type { ProxyOptions } from './proxyStandin.js';
import { ProxyStandin } from './proxyStandin.js';
import { RaterStandin } from './raterStandin.js';
import { ServiceStandin } from './serviceStandin.js';
import { WeightStoreStandin } from './weightStoreStandin.js';

/** The part of a running stand-in that `main.js` uses. */
export interface RunningStandin {
  address: string;
  /** Further fields of the ready line. */
  extra?: Record<string, unknown>;
  close(): Promise<void>;
}

/** A kind of stand-in process: the schema of its settings and how it starts. */
export interface Role {
  description: string;
  schema: z.ZodType<object>;
  start: (options: object) => Promise<RunningStandin>;
}

const commonShape = {
  listen: z.string().optional(),
  seed: z.number().int().optional(),
  closeGraceMs: z.number().nonnegative().optional(),
};

const durationMs = z.number().nonnegative().optional();

/** The roles that `main.js` can run, by name. */
export const roles = {
  platform: {
    description: 'Object API',
    schema: z.strictObject({
      ...commonShape,
      instanceLagMs: durationMs,
      historyValues: z.number().int().positive().optional(),
    }),
    start: (options) => new PlatformStandin(options).start(),
  },
  engine: {
    description: 'Model engine',
    schema: engineOptionsSchema,
    start: (options) => new EngineStandin(options).start(),
  },
  service: {
    description: 'Plain service',
    schema: z.strictObject({
      ...commonShape,
      name: z.string().optional(),
      zone: z.string().optional(),
      callMs: durationMs,
      slots: z.number().int().positive().optional(),
      loadLagMs: durationMs,
    }),
    start: (options) => new ServiceStandin(options).start(),
  },
  weights: {
    description: 'Weight store',
    schema: z.strictObject({
      ...commonShape,
      megabytesPerSecond: z.number().positive().optional(),
      burstMegabytes: z.number().positive().optional(),
    }),
    start: (options) => new WeightStoreStandin(options).start(),
  },
  rater: {
    description: 'Rating service',
    schema: z.strictObject({
      ...commonShape,
      noise: z.number().nonnegative().optional(),
      delayMs: durationMs,
      ratingsPerSecond: z.number().positive().optional(),
      missing: z.number().min(0).max(1).optional(),
      quality: z.record(z.string(), z.number().min(0).max(1)).optional(),
    }),
    start: (options) => new RaterStandin(options).start(),
  },
  proxy: {
    description: 'Fault-injecting TCP proxy',
    schema: z.strictObject({
      listen: z.string().optional(),
      seed: z.number().int().optional(),
      target: z.string(),
      control: z.string().optional(),
    }),
    start: (options) => new ProxyStandin(options as ProxyOptions).start(),
  },
} satisfies Record<string, Role>;

export type RoleName = keyof typeof roles;
