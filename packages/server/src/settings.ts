import { accessSync, constants } from 'node:fs';
import { dirname, resolve } from 'node:path';

import type { SettingsProblem } from '@cactusstair/utils';
import { loadSettings } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { z } from 'zod';

const PORT_LIMIT = 65536;

const address = z.string().refine(
  (text) => {
    const match = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(text);
    return match !== null && Number(match[2]) < PORT_LIMIT;
  },
  { error: 'must be an IPv4 address and a port, for example 127.0.0.1:8080' },
);

const httpUrl = z.url({ protocol: /^https?$/, error: 'must be an http or https URL' });

const milliseconds = z
  .number({ error: 'must be a number of milliseconds without a unit' })
  .positive();

function createReadableFile(baseDir: string) {
  return z
    .string()
    .transform((file) => resolve(baseDir, file))
    .refine(
      (file) => {
        try {
          accessSync(file, constants.R_OK);
          return true;
        } catch {
          return false;
        }
      },
      { error: 'the file is missing or cannot be read' },
    );
}

/** Creates the schema of the settings; file names in them are relative to `baseDir`. */
export function createEntrySettingsSchema(baseDir: string) {
  const file = createReadableFile(baseDir);
  return z.strictObject({
    instance: z.strictObject({
      id: z.string().regex(/^[a-z0-9-]{1,63}$/, 'must be 1 to 63 of a-z, 0-9 and -'),
      region: z.string().min(1),
      zone: z.string().min(1),
    }),
    listen: z.strictObject({
      callers: address,
      operators: address,
      peers: address,
      metrics: address,
    }),
    // Address at which peers reach this instance if not `listen.peers`, for example of a proxy.
    advertise: z.strictObject({ peers: address }).optional(),
    platform: z.strictObject({
      objectApi: httpUrl,
      weightStore: httpUrl.optional(),
      rating: httpUrl.optional(),
      requestTimeoutMs: milliseconds.default(2000),
    }),
    peers: z.strictObject({
      seeds: z.array(address).max(1000).default([]),
      clusterKeyFile: file,
    }),
    tls: z.strictObject({ caFile: file, certFile: file, keyFile: file }).optional(),
    permits: z
      .strictObject({
        candidateMs: milliseconds.default(10_000),
        settledMs: milliseconds.default(3_600_000),
      })
      .prefault({}),
    limits: z
      .strictObject({
        bodyBytes: z.number().int().positive().default(1_048_576),
        // Memory for the bodies of all callers together, half of it for one workspace.
        bodyMemoryBytes: z.number().int().positive().default(67_108_864),
        callerConnections: z.number().int().positive().default(5000),
        metricsConnections: z.number().int().positive().default(256),
        headerBytes: z.number().int().positive().default(16_384),
        promptCharacters: z.number().int().positive().default(400_000),
        completionTokens: z.number().int().positive().default(16_384),
        connectMs: milliseconds.default(1000),
        firstTokenMs: milliseconds.default(10_000),
        interTokenMs: milliseconds.default(5000),
        receiveMs: milliseconds.default(30_000),
        serviceAnswerMs: milliseconds.default(10_000),
        queueShortMs: milliseconds.default(2000),
        queueLongMs: milliseconds.default(10_000),
        requestMs: milliseconds.default(120_000),
        unflushedBills: z.number().int().positive().default(10_000),
      })
      .prefault({}),
    sessions: z.strictObject({ lifetimeMs: milliseconds.default(86_400_000) }).prefault({}),
    ratings: z
      .strictObject({
        sampleShare: z.number().min(0).max(1).default(0.2),
        // Ratings of a candidate decide on its withdrawal. With 25% instead of 5% of its answers
        // rated, a version that is worse by 0.3 answered 120 instead of 339 requests before it
        // was withdrawn (docs/rollouts.md).
        candidateShare: z.number().min(0).max(1).default(0.5),
      })
      .prefault({}),
    shutdown: z
      .strictObject({
        unreadyMs: z.number().nonnegative().default(1000),
        drainMs: milliseconds.default(60_000),
      })
      .prefault({}),
    logging: z
      .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
      .prefault({}),
    invariants: z.strictObject({ fatal: z.boolean().default(false) }).prefault({}),
  });
}

/** Validated settings of an entry instance. Times are in milliseconds. */
export type EntrySettings = z.output<ReturnType<typeof createEntrySettingsSchema>>;

/** Reads and validates the settings of an entry instance. */
export function loadEntrySettings(file: string): Result<EntrySettings, SettingsProblem[]> {
  return loadSettings(file, createEntrySettingsSchema(dirname(resolve(file))));
}
