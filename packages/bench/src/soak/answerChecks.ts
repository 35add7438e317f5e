import { createAnswerText } from '@cactusstair/standins';

import type { CallRecord, PropertyResult, Recording, Violation } from './recording.js';
import type { EngineWork } from './versionChecks.js';
import { groupCalls, listEngineWork } from './versionChecks.js';

const FAILURE_STATUS = 400;
const MAX_SHOWN_CHARACTERS = 60;

function isService(call: CallRecord): boolean {
  return call.model.startsWith('service:');
}

/** Whether the caller received a complete answer without a failure status. */
export function isAnswered(call: CallRecord): boolean {
  return call.complete && (call.status ?? FAILURE_STATUS) < FAILURE_STATUS;
}

/** Each answered request has exactly one bill, with the cost stated in the answer. */
export function checkBills(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  const bills = new Map<string, number[]>();
  for (const { workspace, requestId, costMicros } of recording.bills) {
    const key = `${workspace}/${requestId}`;
    bills.set(key, [...(bills.get(key) ?? []), costMicros]);
  }
  for (const [key, costs] of bills) {
    if (costs.length === 1) continue;
    const requestId = key.slice(key.indexOf('/') + 1);
    violations.push({ requestId, detail: `${costs.length} bills for ${key}` });
  }
  const answers = recording.calls.filter((call) => isAnswered(call) && !call.replayed);
  for (const { workspace, requestId, costMicros = 0 } of answers) {
    const costs = bills.get(`${workspace}/${requestId}`);
    if (!costs) violations.push({ requestId, detail: 'answered without a bill' });
    else if (!costs.includes(costMicros)) {
      const detail = `the answer states ${costMicros} micros, the bill ${costs.join(', ')}`;
      violations.push({ requestId, detail });
    }
  }
  violations.push(...findUnbilledKeys(recording, bills));
  return { property: 'one bill for each answered request', tested: answers.length, violations };
}

/**
 * Finds replayed answers without a bill. The bill may have the request id of any call with the key.
 */
function findUnbilledKeys(recording: Recording, bills: Map<string, number[]>): Violation[] {
  const byKey = new Map<string, CallRecord[]>();
  for (const call of recording.calls) {
    if (call.idempotencyKey === undefined) continue;
    const key = `${call.workspace}/${call.idempotencyKey}`;
    byKey.set(key, [...(byKey.get(key) ?? []), call]);
  }
  return [...byKey.values()].flatMap((calls) => {
    const answered = calls.find((call) => isAnswered(call) && call.replayed);
    const isBilled = calls.some(({ workspace, requestId }) =>
      bills.has(`${workspace}/${requestId}`),
    );
    if (!answered || isBilled) return [];
    const detail = `no sending with the key ${answered.idempotencyKey} has a bill`;
    return [{ requestId: answered.requestId, detail }];
  });
}

function findAnswerProblem(call: CallRecord): string | undefined {
  const shown = JSON.stringify(call.text.slice(0, MAX_SHOWN_CHARACTERS));
  if (call.answeredId !== undefined && call.answeredId !== call.requestId) {
    return `the answer carries the request id ${call.answeredId}`;
  }
  if (isService(call)) {
    if (!isAnswered(call)) return undefined;
    const { idempotencyKey, requestId } = JSON.parse(call.text) as Record<string, string>;
    if (call.idempotencyKey !== undefined) {
      return idempotencyKey === call.idempotencyKey
        ? undefined
        : `answer to another call: ${shown}`;
    }
    return requestId === call.requestId ? undefined : `answer to another call: ${shown}`;
  }
  if (call.status !== 200) return undefined;
  const whole = createAnswerText(call.requestId, call.expectedTokens);
  if (call.complete) return call.text === whole ? undefined : `not the whole answer: ${shown}`;
  if (!whole.startsWith(call.text)) return `foreign text: ${shown}`;
  const hasError = call.error !== undefined || call.code !== undefined;
  return hasError ? undefined : `the answer ends early and without an error: ${shown}`;
}

/** Each caller receives the complete answer to its own request, or an error. */
export function checkAnswers(recording: Recording): PropertyResult {
  const begun = recording.calls.filter((call) => call.status !== undefined);
  const violations = begun.flatMap((call) => {
    const detail = findAnswerProblem(call);
    return detail === undefined ? [] : [{ requestId: call.requestId, detail }];
  });
  return { property: 'whole answer to the own request', tested: begun.length, violations };
}

/** A request that was reported as not run is not in the journal of any upstream. */
export function checkNotRun(recording: Recording): PropertyResult {
  const runs = new Map<string, string>();
  for (const entry of listEngineWork(recording)) runs.set(entry.requestId, entry.upstream);
  for (const { upstream, calls } of recording.services) {
    for (const call of calls) runs.set(call.requestId ?? '', upstream);
  }
  const violations: Violation[] = [];
  let tested = 0;
  for (const [requestId, calls] of groupCalls(recording)) {
    // If a request id was sent several times, the journals do not show which call ran.
    const [call] = calls;
    if (calls.length !== 1 || call?.ran !== 'no') continue;
    tested += 1;
    const upstream = runs.get(requestId);
    if (upstream === undefined) continue;
    violations.push({ requestId, detail: `code ${call.code} says not run; ${upstream} ran it` });
  }
  return { property: '"not run" means not run', tested, violations };
}

/** A non-idempotent call runs at most once, and all repeats receive the answer of that run. */
export function checkNonIdempotent(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  const effects = new Map<string, string[]>();
  for (const { upstream, calls } of recording.services) {
    for (const { idempotencyKey, effect } of calls) {
      if (idempotencyKey === undefined) continue;
      effects.set(idempotencyKey, [
        ...(effects.get(idempotencyKey) ?? []),
        `${upstream}/${effect}`,
      ]);
    }
  }
  const keyed = recording.calls.filter((call) => call.idempotencyKey !== undefined);
  for (const [key, runs] of effects) {
    if (runs.length === 1) continue;
    const requestId = keyed.find((call) => call.idempotencyKey === key)?.requestId;
    const detail = `the key ${key} ran ${runs.length} times: ${runs.join(', ')}`;
    violations.push({ detail, ...(requestId !== undefined && { requestId }) });
  }
  for (const call of keyed.filter(isAnswered)) {
    const { service, effect } = JSON.parse(call.text) as { service: string; effect: number };
    const [run] = effects.get(call.idempotencyKey ?? '') ?? [];
    if (run === `${service}/${effect}`) continue;
    const detail = `the answer shows effect ${service}/${effect}, the journal ${run}`;
    violations.push({ requestId: call.requestId, detail });
  }
  return { property: 'non-idempotent runs at most once', tested: effects.size, violations };
}

// An engine crash ends all its requests, so their journal entries have nearly equal end times.
const CRASH_WINDOW_MS = 100;

/** Requests that were in flight when another request crashed their engine are still answered. */
export function checkCrashBystanders(recording: Recording): PropertyResult {
  const calls = groupCalls(recording);
  const crashed = listEngineWork(recording).filter((entry) => entry.outcome === 'crashed');
  const isMarked = (requestId: string) =>
    ['crash-marker', 'crash-probe'].includes(calls.get(requestId)?.[0]?.kind ?? '');
  const bystanders = new Set(
    crashed
      .filter((entry) => !isMarked(entry.requestId))
      .filter((entry) =>
        crashed.some(
          (other) =>
            isMarked(other.requestId) &&
            other.upstream === entry.upstream &&
            Math.abs((other.endedAtMs ?? 0) - (entry.endedAtMs ?? 0)) < CRASH_WINDOW_MS,
        ),
      )
      .map((entry) => entry.requestId),
  );
  const violations: Violation[] = [];
  for (const requestId of bystanders) {
    for (const call of calls.get(requestId) ?? []) {
      if (isAnswered(call) || wasEntryKilled(recording, call)) continue;
      if (wasVersionWithdrawn(recording, call, crashed)) continue;
      const detail = `beside a crashing request; ended with ${describeEnd(call)}`;
      violations.push({ requestId, detail });
    }
  }
  return { property: 'innocent beside a crash is answered', tested: bystanders.size, violations };
}

function describeEnd(call: CallRecord): string {
  return call.error ?? `status ${call.status}, code ${call.code}, ${call.message ?? 'no message'}`;
}

/** Whether the instance that handled the call was killed during the call. */
function wasEntryKilled(recording: Recording, call: CallRecord): boolean {
  return recording.faults.some(
    ({ fault, startedAtMs }) =>
      fault.kind === 'entry-kill' &&
      fault.target === call.entry &&
      startedAtMs >= call.sentAtMs &&
      startedAtMs <= call.endedAtMs,
  );
}

/** Whether the version that ran the request was withdrawn before a retry could start. */
function wasVersionWithdrawn(
  recording: Recording,
  call: CallRecord,
  crashed: readonly EngineWork[],
): boolean {
  const names = crashed
    .filter((entry) => entry.requestId === call.requestId)
    .map(({ model, version }) => `${model}@${version}`);
  return recording.operators.some(
    ({ action, name, sentAtMs }) =>
      action === 'withdraw' && names.includes(name) && sentAtMs <= call.endedAtMs,
  );
}

const QUARANTINED = 1110;
const NOT_ACCEPTED_CODES = { from: 2000, to: 3000 };

/** A request that crashes engines repeatedly is refused by every instance afterwards. */
export function checkCrashingRequests(recording: Recording): PropertyResult {
  const probes = recording.calls.filter((call) => call.kind === 'crash-probe');
  const accepted = probes.filter(({ code, status }) => {
    const isNotAccepted =
      code !== undefined && code > NOT_ACCEPTED_CODES.from && code < NOT_ACCEPTED_CODES.to;
    return status !== undefined && !isNotAccepted;
  });
  const violations = accepted
    .filter((call) => call.code !== QUARANTINED)
    .map((call) => ({
      requestId: call.requestId,
      detail: `${call.entry} took the crashing request again: ${describeEnd(call)}`,
    }));
  return { property: 'crashing request is refused', tested: accepted.length, violations };
}
