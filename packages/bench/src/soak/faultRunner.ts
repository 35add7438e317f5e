import type { LocalCluster } from '@cactusstair/place';
import { systemClock } from '@cactusstair/utils';

import type { ScheduledFault } from './faultSchedule.js';
import type { LoadDriver } from './loadDriver.js';
import type { OperatorDriver } from './operatorDriver.js';
import type { FaultRecord } from './recording.js';

/** Components that the fault handlers act on. */
export interface FaultContext {
  cluster: LocalCluster;
  load: LoadDriver;
  operators: OperatorDriver;
}

type FaultHandler = (
  context: FaultContext,
  fault: ScheduledFault,
  record: FaultRecord,
) => Promise<void>;

const SLOW_DELAY_MS = 300;
const LATE_EVENT_MS = 1500;

async function injectForDuration(
  { cluster }: FaultContext,
  { target, durationMs }: ScheduledFault,
  fault: { fault: string } & Record<string, unknown>,
): Promise<void> {
  await cluster.injectFault(target, fault);
  await systemClock.sleep(durationMs);
  await cluster.injectFault(target, { fault: 'clear', name: fault.fault });
}

function createInjection(fault: { fault: string } & Record<string, unknown>): FaultHandler {
  return (context, scheduled) => injectForDuration(context, scheduled, fault);
}

async function killEntry({ cluster }: FaultContext, fault: ScheduledFault): Promise<void> {
  const entry = cluster.getProcess(fault.target);
  await entry.kill();
  await systemClock.sleep(fault.durationMs);
  await entry.start();
}

async function restartEntry(
  { cluster }: FaultContext,
  fault: ScheduledFault,
  record: FaultRecord,
): Promise<void> {
  const entry = cluster.getProcess(fault.target);
  const exit = await entry.stop();
  record.exitCode = exit.code;
  record.endedAtMs = Date.now();
  await entry.start();
}

async function pauseEntry({ cluster }: FaultContext, fault: ScheduledFault): Promise<void> {
  const entry = cluster.getProcess(fault.target);
  entry.pause();
  await systemClock.sleep(fault.durationMs);
  entry.resume();
}

async function takeUpstreamOutOfService(
  { cluster }: FaultContext,
  fault: ScheduledFault,
): Promise<void> {
  await cluster.startLeaving(fault.target);
  await systemClock.sleep(fault.durationMs);
  await cluster.injectFault(fault.target, { fault: 'clear', name: 'leaving' });
  await cluster.updateInstanceList(fault.target, 'live');
}

async function crashEngine({ cluster }: FaultContext, fault: ScheduledFault): Promise<void> {
  await cluster.injectFault(fault.target, { fault: 'crash', downMs: fault.durationMs });
  await systemClock.sleep(fault.durationMs);
}

const cut = createInjection({ fault: 'cut' });
const blackhole = createInjection({ fault: 'blackhole' });
const silence = createInjection({ fault: 'blackhole', scope: 'existing' });

const handlers: Record<ScheduledFault['kind'], FaultHandler> = {
  'entry-kill': killEntry,
  'entry-restart': restartEntry,
  'entry-pause': pauseEntry,
  'api-cut': cut,
  'api-blackhole': blackhole,
  'api-silence': silence,
  'link-cut': cut,
  'link-blackhole': blackhole,
  'link-silence': silence,
  'peers-cut': cut,
  'peers-blackhole': blackhole,
  'peers-silence': silence,
  'platform-outage': createInjection({ fault: 'outage', mode: 'refuse' }),
  'platform-silent-outage': createInjection({ fault: 'outage', mode: 'silent' }),
  'platform-slow': createInjection({
    fault: 'slow',
    delayMs: SLOW_DELAY_MS,
    jitterMs: SLOW_DELAY_MS,
  }),
  'platform-lose-answer': createInjection({ fault: 'loseAnswer', probability: 0.5 }),
  'platform-late-events': createInjection({
    fault: 'watch',
    delayMs: LATE_EVENT_MS,
    repeat: 0.3,
    reorder: 0.3,
  }),
  'engine-crash': crashEngine,
  'engine-silence': createInjection({ fault: 'silence' }),
  'engine-cut-stream': createInjection({ fault: 'cutStream', afterTokens: 5, probability: 0.5 }),
  'engine-swap-answers': createInjection({ fault: 'swapAnswers', waitMs: 1000 }),
  'upstream-leave': takeUpstreamOutOfService,
  'operator-race': ({ operators }) => operators.race('ladders'),
  'crash-marker': async ({ load }, fault) => {
    load.startCrashMarker();
    await systemClock.sleep(fault.durationMs);
  },
  rollout: ({ operators }, fault) => operators.startRollout(fault.target),
  'withdraw-settled': ({ operators }, fault) => operators.withdraw(fault.target, 'settled'),
  'withdraw-candidate': ({ operators }, fault) => operators.withdraw(fault.target, 'candidate'),
};

/** Injects each fault of a schedule at its time and clears it after its duration. */
export async function runFaults(
  schedule: readonly ScheduledFault[],
  context: FaultContext,
): Promise<FaultRecord[]> {
  const startedAtMs = Date.now();
  const records: FaultRecord[] = [];
  const runFault = async (fault: ScheduledFault) => {
    await systemClock.sleep(Math.max(0, startedAtMs + fault.atMs - Date.now()));
    const record: FaultRecord = { fault, startedAtMs: Date.now(), endedAtMs: Infinity };
    records.push(record);
    try {
      await handlers[fault.kind](context, fault, record);
    } catch (error) {
      record.error = (error as Error).message;
    }
    if (record.endedAtMs === Infinity) record.endedAtMs = Date.now();
  };
  await Promise.all(schedule.map(runFault));
  return records;
}
