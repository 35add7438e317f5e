import { request } from 'undici';
import { z } from 'zod';

const loadReportSchema = z.looseObject({
  incarnation: z.number().optional(),
  slots: z.number().int().nonnegative(),
  active: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  leaving: z.boolean(),
  /** Loaded versions. */
  versions: z.array(z.looseObject({ model: z.string(), version: z.string() })).default([]),
  cacheEvents: z.number().optional(),
});

/** What an upstream says about its load. Reports lag behind the truth. */
export type LoadReport = z.output<typeof loadReportSchema>;

const cacheEventsSchema = z.looseObject({
  events: z.array(
    z.looseObject({
      sequence: z.number(),
      type: z.enum(['added', 'evicted', 'cleared']),
      block: z.string(),
    }),
  ),
});

/** An event of an engine's prefix cache. */
export type EngineCacheEvent = z.output<typeof cacheEventsSchema>['events'][number];

async function fetchJson(url: string, timeoutMs: number): Promise<unknown> {
  const answer = await request(url, {
    // A probe on an old connection would not tell whether new ones work.
    reset: true,
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    throw new Error(`${url} answered with status ${answer.statusCode}`);
  }
  return answer.body.json();
}

/** Reads the load report of an upstream over a new connection. */
export async function fetchLoadReport(baseUrl: string, timeoutMs: number): Promise<LoadReport> {
  return loadReportSchema.parse(await fetchJson(`${baseUrl}/load`, timeoutMs));
}

/** Reads the cache events of an engine above a sequence number. */
export async function fetchCacheEvents(
  baseUrl: string,
  fromSequence: number,
  timeoutMs: number,
): Promise<EngineCacheEvent[]> {
  const url = `${baseUrl}/cache-events?from=${fromSequence}`;
  return cacheEventsSchema.parse(await fetchJson(url, timeoutMs)).events;
}
