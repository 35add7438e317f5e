import type { Clock, Random } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Agent } from 'undici';

import type { Workload, WorkloadRequest } from './workload.js';

/** Options of `runLoad`. */
export interface LoadOptions {
  /** Base URLs of the callers ports; requests are distributed round-robin. */
  callers: readonly string[];
  apiKey: string;
  workload: Workload;
  /** Arrivals per second at the peak of the day. */
  peakRate: number;
  durationMs: number;
  /** Hour of the day at the start and at the end of the run, in 0..24. */
  fromHour: number;
  toHour: number;
  random: Random;
  /** Maximum open requests; further arrivals are not sent and count as `droppedByTool`. */
  maxOpen: number;
  clock?: Clock;
  /** Called about once a second with the completed share of the run, in 0..1. */
  onProgress?: (done: number, open: number) => void;
}

/** Results of the requests of one kind. Times are in milliseconds. */
export interface KindResult {
  kind: string;
  sent: number;
  succeeded: number;
  /** Failures by result code, by HTTP status without one, or as `incomplete` or `connection`. */
  failures: Record<string, number>;
  total: Histogram;
  firstToken: Histogram;
  tokenGap: Histogram;
  costMicros: number;
}

/** The result of a load run. */
export interface LoadResult {
  kinds: KindResult[];
  droppedByTool: number;
  seconds: number;
}

const MAX_LATENCY_MS = 600_000;
const PROGRESS_INTERVAL_MS = 1000;
const REQUEST_TIMEOUT_MS = 120_000;
const MS_PER_SECOND = 1000;

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 3 });
}

function createKindResult(kind: string): KindResult {
  return {
    kind,
    sent: 0,
    succeeded: 0,
    failures: {},
    total: createHistogram(),
    firstToken: createHistogram(),
    tokenGap: createHistogram(),
    costMicros: 0,
  };
}

/** Sends a workload in an open loop: arrivals do not wait for answers. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const clock = options.clock ?? systemClock;
  const results = new Map<string, KindResult>();
  const open = new Set<Promise<void>>();
  const agent = new Agent({ connections: options.maxOpen });
  const startedAtMs = clock.monotonicMs();
  let nextArrivalMs = startedAtMs;
  let nextProgressMs = startedAtMs;
  let droppedByTool = 0;
  let count = 0;
  for (;;) {
    const nowMs = clock.monotonicMs();
    const done = (nowMs - startedAtMs) / options.durationMs;
    if (done >= 1) break;
    if (nowMs >= nextProgressMs) {
      options.onProgress?.(done, open.size);
      nextProgressMs = nowMs + PROGRESS_INTERVAL_MS;
    }
    if (nowMs < nextArrivalMs) {
      await clock.sleep(Math.min(nextArrivalMs - nowMs, PROGRESS_INTERVAL_MS));
      continue;
    }
    const hour = options.fromHour + (options.toHour - options.fromHour) * done;
    const rate = options.peakRate * options.workload.getRelativeRate(hour);
    nextArrivalMs += (-Math.log(1 - options.random.next()) * MS_PER_SECOND) / rate;
    const request = options.workload.draw(hour);
    const result = results.get(request.kind) ?? createKindResult(request.kind);
    results.set(request.kind, result);
    if (open.size >= options.maxOpen) {
      droppedByTool += 1;
      continue;
    }
    result.sent += 1;
    count += 1;
    const caller = options.callers[count % options.callers.length] ?? '';
    const task: Promise<void> = sendRequest(agent, caller, options, request, result, count).finally(
      () => open.delete(task),
    );
    open.add(task);
  }
  await Promise.all(open);
  await agent.close();
  return {
    kinds: [...results.values()].sort((a, b) => (a.kind < b.kind ? -1 : 1)),
    droppedByTool,
    seconds: (clock.monotonicMs() - startedAtMs) / MS_PER_SECOND,
  };
}

function countFailure(result: KindResult, code: string): void {
  result.failures[code] = (result.failures[code] ?? 0) + 1;
}

async function sendRequest(
  agent: Agent,
  caller: string,
  options: LoadOptions,
  request: WorkloadRequest,
  result: KindResult,
  count: number,
): Promise<void> {
  const startedAtMs = performance.now();
  const requestId = `load-${process.pid}-${count}`;
  try {
    const answer = await agent.request({
      origin: caller,
      method: request.method,
      path: request.path,
      headers: {
        authorization: `Bearer ${options.apiKey}`,
        'x-request-id': requestId,
        ...(request.body && { 'content-type': 'application/json' }),
        ...(request.nonIdempotent && { 'idempotency-key': requestId }),
      },
      body: request.body ? JSON.stringify(request.body) : null,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const text = await readBody(answer.body, request.streaming, startedAtMs, result);
    const isComplete = !request.streaming || text.includes('data: [DONE]');
    if (answer.statusCode >= 400 || !isComplete) {
      const header = answer.headers['x-cactusstair-code'];
      countFailure(result, String(header ?? (isComplete ? answer.statusCode : 'incomplete')));
      return;
    }
    result.succeeded += 1;
    result.total.recordValue(performance.now() - startedAtMs);
    const cost =
      answer.headers['x-cactusstair-cost-micros'] ?? /^: cost-micros=(\d+)/m.exec(text)?.[1];
    result.costMicros += Number(cost ?? 0);
  } catch {
    countFailure(result, 'connection');
  }
}

async function readBody(
  body: AsyncIterable<Buffer>,
  streaming: boolean,
  startedAtMs: number,
  result: KindResult,
): Promise<string> {
  let text = '';
  let lastAtMs: number | undefined;
  for await (const bytes of body) {
    text += bytes.toString();
    if (!streaming) continue;
    const nowMs = performance.now();
    if (lastAtMs === undefined) result.firstToken.recordValue(nowMs - startedAtMs);
    else result.tokenGap.recordValue(nowMs - lastAtMs);
    lastAtMs = nowMs;
  }
  return text;
}
