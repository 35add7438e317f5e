import { Client, request } from 'undici';
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

/** The load that an upstream reports. Reports lag behind the actual load. */
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

/** Options for reading a report. */
export interface ReportCall {
  baseUrl: string;
  timeoutMs: number;
  /** Whether to use a new connection, which can work when a kept one no longer delivers data. */
  newConnection: boolean;
}

async function fetchJson(path: string, call: ReportCall): Promise<unknown> {
  const url = `${call.baseUrl}${path}`;
  const client = call.newConnection ? new Client(call.baseUrl) : undefined;
  try {
    const answer = await request(url, {
      signal: AbortSignal.timeout(call.timeoutMs),
      ...(client && { dispatcher: client }),
    });
    if (answer.statusCode === 200) return await answer.body.json();
    await answer.body.dump();
    throw new Error(`${url} answered with status ${answer.statusCode}`);
  } finally {
    await client?.destroy();
  }
}

/** Reads the load report of an upstream. */
export async function fetchLoadReport(call: ReportCall): Promise<LoadReport> {
  return loadReportSchema.parse(await fetchJson('/load', call));
}

/** Reads the cache events of an engine that follow a sequence number. */
export async function fetchCacheEvents(
  call: ReportCall,
  fromSequence: number,
): Promise<EngineCacheEvent[]> {
  const path = `/cache-events?from=${fromSequence}`;
  return cacheEventsSchema.parse(await fetchJson(path, call)).events;
}
