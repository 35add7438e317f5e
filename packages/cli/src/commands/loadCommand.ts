import { writeFileSync } from 'node:fs';

import { createRandom } from '@cactusstair/utils';
import type { Histogram } from 'hdr-histogram-js';

import { CliError, exitCodes } from '../cliError.js';
import type { KindResult, LoadResult } from '../load/loadRunner.js';
import { runLoad } from '../load/loadRunner.js';
import type { WorkloadName } from '../load/workload.js';
import { Workload, workloads } from '../load/workload.js';
import { formatTable, print } from '../output.js';

/** Options of the `load` command. */
export interface LoadCommandOptions {
  /** Comma-separated base URLs of callers ports. */
  callers: string;
  apiKey: string;
  workload: string;
  shortModel: string;
  longModel: string;
  service: string | undefined;
  peakRate: number;
  seconds: number;
  hours: string;
  seed: number;
  jsonFile: string | undefined;
}

const MAX_OPEN_REQUESTS = 500;
const MAX_RUN_SECONDS = 3600;
const BAR_WIDTH = 30;
const MS_PER_SECOND = 1000;

/** Hours of the day that a run covers, by the value of --hours. */
const hourRanges: Record<string, [from: number, to: number]> = {
  morning: [8, 10],
  evening: [18, 20],
  day: [0, 24],
};

function isLoopback(url: string): boolean {
  return URL.canParse(url) && /^127\./.test(new URL(url).hostname);
}

/** Sends a workload to running instances and prints a table by kind of request. */
export async function runLoadCommand(options: LoadCommandOptions): Promise<void> {
  const callers = options.callers.split(',').filter((url) => url !== '');
  if (callers.length === 0 || !callers.every(isLoopback)) {
    throw new CliError('--callers must list http://127.x.x.x URLs', exitCodes.usage);
  }
  if (!(options.workload in workloads)) {
    const names = Object.keys(workloads).join(', ');
    throw new CliError(`--workload must be one of ${names}`, exitCodes.usage);
  }
  const hourRange = hourRanges[options.hours];
  if (!hourRange) {
    throw new CliError(
      `--hours must be one of ${Object.keys(hourRanges).join(', ')}`,
      exitCodes.usage,
    );
  }
  if (!(options.seconds > 0 && options.seconds <= MAX_RUN_SECONDS)) {
    throw new CliError(`--seconds must be in 1..${MAX_RUN_SECONDS}`, exitCodes.usage);
  }
  const random = createRandom(options.seed);
  const result = await runLoad({
    callers,
    apiKey: options.apiKey,
    workload: new Workload(
      options.workload as WorkloadName,
      {
        shortModel: options.shortModel,
        longModel: options.longModel,
        ...(options.service !== undefined && { servicePath: options.service }),
      },
      random,
    ),
    peakRate: options.peakRate,
    durationMs: options.seconds * MS_PER_SECOND,
    fromHour: hourRange[0],
    toHour: hourRange[1],
    random,
    maxOpen: MAX_OPEN_REQUESTS,
    onProgress: showProgress,
  });
  showProgress(1, 0);
  if (process.stderr.isTTY) process.stderr.write('\n');
  printResult(result);
  if (options.jsonFile !== undefined) {
    writeFileSync(options.jsonFile, JSON.stringify(summarizeResult(result, options), null, 2));
  }
}

function showProgress(done: number, open: number): void {
  if (!process.stderr.isTTY) return;
  const filled = Math.round(done * BAR_WIDTH);
  const bar = '#'.repeat(filled).padEnd(BAR_WIDTH, '-');
  process.stderr.write(`\r[${bar}] ${Math.round(done * 100)}% ${open} open  `);
}

function formatPercentile(histogram: Histogram, percentile: number): string {
  if (histogram.totalCount === 0) return '-';
  return histogram.getValueAtPercentile(percentile).toFixed(0);
}

function printResult(result: LoadResult): void {
  print(
    formatTable(result.kinds, [
      { title: 'KIND', value: ({ kind }) => kind },
      { title: 'SENT', value: ({ sent }) => sent },
      { title: 'OK', value: ({ succeeded }) => succeeded },
      { title: 'FAILED', value: formatFailures },
      { title: 'P50 MS', value: ({ total }) => formatPercentile(total, 50) },
      { title: 'P95 MS', value: ({ total }) => formatPercentile(total, 95) },
      { title: 'FIRST TOKEN P95', value: ({ firstToken }) => formatPercentile(firstToken, 95) },
      { title: 'GAP P95', value: ({ tokenGap }) => formatPercentile(tokenGap, 95) },
      { title: 'COST (MICROS)', value: ({ costMicros }) => costMicros },
    ]),
  );
  if (result.droppedByTool > 0) {
    print(
      `${result.droppedByTool} requests were not sent because ${MAX_OPEN_REQUESTS} were already open`,
    );
  }
}

function formatFailures({ failures }: KindResult): string {
  const entries = Object.entries(failures).map(([code, count]) => `${code}:${count}`);
  return entries.length === 0 ? '0' : entries.join(' ');
}

function summarizeResult(result: LoadResult, options: LoadCommandOptions) {
  const percentiles = (histogram: Histogram) => ({
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  });
  return {
    seed: options.seed,
    workload: options.workload,
    hours: options.hours,
    peakRate: options.peakRate,
    seconds: result.seconds,
    droppedByTool: result.droppedByTool,
    kinds: result.kinds.map(({ total, firstToken, tokenGap, ...counts }) => ({
      ...counts,
      totalMs: percentiles(total),
      firstTokenMs: percentiles(firstToken),
      tokenGapMs: percentiles(tokenGap),
    })),
  };
}
