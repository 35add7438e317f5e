import type { Bill } from '@cactusstair/protocol';
import { LocalCluster } from '@cactusstair/place';
import { systemClock } from '@cactusstair/utils';

import { CallSender } from './callSender.js';
import { checkRecording } from './checker.js';
import {
  waitUntilIdle,
  fetchEngineJournals,
  fetchHistory,
  fetchServiceJournals,
  sampleMetrics,
} from './collector.js';
import type { ScheduledFault } from './faultSchedule.js';
import { createFaultSchedule, formatFault } from './faultSchedule.js';
import { runFaults } from './faultRunner.js';
import { LoadDriver } from './loadDriver.js';
import { OperatorDriver } from './operatorDriver.js';
import type { MetricsSample, PropertyResult, Recording } from './recording.js';
import { formatTable, formatViolations } from './report.js';
import {
  crashMarkerFault,
  createSoakClusterOptions,
  soakAllowed,
  soakTargets,
} from './soakCluster.js';

/** Options of `runSoak`. */
export interface SoakOptions {
  seed: number;
  /** Time during which faults are drawn, in milliseconds. */
  durationMs: number;
  /** Directory for the logs of the processes. */
  runDir: string;
  /** Called for each line of the report. */
  print: (line: string) => void;
  /** Command that repeats the run; printed after violations. */
  command: string;
}

const RATE_PER_SECOND = 20;
const SETTLED_PERMIT_MS = 20_000;
const CANDIDATE_PERMIT_MS = 10_000;
// Load continues after the bound of the last withdrawal, to detect late work on the version.
const LOAD_AFTER_BOUND_MS = 3000;
const IN_FORCE_BOUND_MS = 12_000;
// If an instance is lost, the holder of its bill copies stores them after 60 s without contact at
// most.
const BILL_SETTLE_TIMEOUT_MS = 90_000;
const BILL_POLL_MS = 1000;

/** Computes the duration of the load: until after the faults and the bounds of the withdrawals. */
function computeLoadMs(schedule: readonly ScheduledFault[], durationMs: number): number {
  const bounds = schedule.map(({ kind, atMs, durationMs: lengthMs }) => {
    if (kind === 'withdraw-settled') return atMs + SETTLED_PERMIT_MS + LOAD_AFTER_BOUND_MS;
    if (kind === 'withdraw-candidate') return atMs + CANDIDATE_PERMIT_MS + LOAD_AFTER_BOUND_MS;
    return atMs + lengthMs;
  });
  return Math.max(durationMs, ...bounds);
}

/** Exports bills until all answered requests have one or the time-out expires. */
async function awaitBills(operators: OperatorDriver, sender: CallSender): Promise<Bill[]> {
  const answered = sender.records.filter((call) => call.complete && !call.replayed);
  const deadlineMs = Date.now() + BILL_SETTLE_TIMEOUT_MS;
  for (;;) {
    const bills = await operators.exportBills();
    const billed = new Set(bills.map((bill) => bill.requestId));
    const isComplete = answered.every(({ requestId }) => billed.has(requestId));
    if (isComplete || Date.now() > deadlineMs) return bills;
    await systemClock.sleep(BILL_POLL_MS);
  }
}

/** Runs load and faults on a started cluster and returns the recording. */
async function recordRun(
  cluster: LocalCluster,
  options: SoakOptions,
  schedule: readonly ScheduledFault[],
): Promise<Recording> {
  const keys = new Map(cluster.workspaces.map(({ name, apiKey }) => [name, apiKey]));
  const sender = new CallSender(keys);
  const operators = new OperatorDriver(cluster.entries.map((entry) => entry.operators));
  const load = new LoadDriver({
    seed: options.seed,
    entries: cluster.entries,
    sender,
    ratePerSecond: RATE_PER_SECOND,
  });
  const samples: MetricsSample[] = [];
  const loadEnd = new AbortController();
  const sampleEnd = new AbortController();
  const sampling = sampleMetrics(cluster, samples, sampleEnd.signal);
  for (const name of soakTargets.engines) await cluster.injectFault(name, crashMarkerFault);
  const loading = load.run(loadEnd.signal);
  const faultRun = runFaults(schedule, { cluster, load, operators });
  await systemClock.sleep(computeLoadMs(schedule, options.durationMs));
  const faults = await faultRun;
  loadEnd.abort();
  await loading;
  await waitUntilIdle(cluster);
  const change = await operators.change('decals', 2);
  const lastChange = { revision: change.revision ?? 0, atMs: Date.now() };
  const bills = await awaitBills(operators, sender);
  const remainingMs = lastChange.atMs + IN_FORCE_BOUND_MS - Date.now();
  const isInForce = () =>
    cluster.entries.every(({ name }) => {
      const last = samples.findLast((sample) => sample.entry === name);
      return (last?.configRevision ?? 0) >= lastChange.revision;
    });
  for (const endMs = Date.now() + remainingMs + BILL_POLL_MS; Date.now() < endMs;) {
    if (isInForce()) break;
    await systemClock.sleep(200);
  }
  sampleEnd.abort();
  await sampling;
  const recording: Recording = {
    seed: options.seed,
    permits: { candidateMs: CANDIDATE_PERMIT_MS, settledMs: SETTLED_PERMIT_MS },
    allowed: soakAllowed,
    zones: Object.fromEntries(cluster.entries.map(({ name, zone }) => [name, zone])),
    calls: sender.records,
    engines: await fetchEngineJournals(cluster),
    services: await fetchServiceJournals(cluster),
    bills,
    operators: operators.records,
    history: await fetchHistory(cluster),
    samples,
    faults,
    lastChange,
  };
  operators.close();
  await sender.close();
  return recording;
}

function printCalls({ calls, faults }: Recording, print: (line: string) => void): void {
  const outcomes = new Map<string, number>();
  for (const call of calls) {
    const failure = call.code === undefined ? `status ${call.status}` : `code ${call.code}`;
    const outcome = call.error === undefined ? failure : 'connection';
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  }
  const list = [...outcomes].map(([outcome, count]) => `${outcome}: ${count}`).sort();
  print(`${calls.length} requests; ${list.join(', ')}`);
  for (const { fault, error } of faults) {
    if (error !== undefined) print(`fault ${fault.kind} ${fault.target} failed: ${error}`);
  }
}

/**
 * Runs the soak test with one seed: prints the schedule and the result table, returns the results.
 */
export async function runSoak(options: SoakOptions): Promise<PropertyResult[]> {
  const { seed, durationMs, runDir, print } = options;
  const schedule = createFaultSchedule(seed, durationMs, soakTargets);
  print(`seed ${seed}, ${schedule.length} faults, logs in ${runDir}`);
  for (const fault of schedule) print(formatFault(fault));
  const cluster = await LocalCluster.start(
    createSoakClusterOptions(seed, SETTLED_PERMIT_MS, runDir),
  );
  try {
    const recording = await recordRun(cluster, options, schedule);
    const results = checkRecording(recording);
    printCalls(recording, print);
    print(formatTable(results));
    if (results.some(({ violations }) => violations.length > 0)) {
      print(formatViolations(results, recording, runDir));
      print(`seed ${seed}; repeat with: ${options.command}`);
    }
    return results;
  } finally {
    await cluster.close();
  }
}
