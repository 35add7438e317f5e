import type { EngineJournalEntry } from '@cactusstair/standins';

import type { CallRecord, PropertyResult, Recording, Violation } from './recording.js';

/** A journal entry with the name of its engine. */
export interface EngineWork extends EngineJournalEntry {
  upstream: string;
}

/** Lists the requests that engines accepted; omits refused ones. */
export function listEngineWork(recording: Recording): EngineWork[] {
  return recording.engines.flatMap(({ upstream, requests }) =>
    requests
      .filter((entry) => entry.outcome !== 'refused')
      .map((entry) => ({ ...entry, upstream })),
  );
}

/** Groups calls by request id. */
export function groupCalls(recording: Recording): Map<string, CallRecord[]> {
  const groups = new Map<string, CallRecord[]>();
  for (const call of recording.calls) {
    const group = groups.get(call.requestId) ?? [];
    groups.set(call.requestId, group);
    group.push(call);
  }
  return groups;
}

/** A request runs only on models and versions that its workspace allows. */
export function checkAllowedVersions(recording: Recording): PropertyResult {
  const calls = groupCalls(recording);
  const work = listEngineWork(recording);
  const violations: Violation[] = [];
  for (const { requestId, model, version, upstream } of work) {
    const workspace = calls.get(requestId)?.[0]?.workspace;
    const name = `${model}@${version}`;
    if (workspace === undefined) {
      violations.push({ requestId, detail: `${upstream} ran a request that no caller sent` });
    } else if (!recording.allowed[workspace]?.includes(name)) {
      const detail = `${upstream} ran ${name}, which ${workspace} may not use`;
      violations.push({ requestId, detail });
    }
  }
  return { property: 'allowed models and versions only', tested: work.length, violations };
}

/**
 * A withdrawn version receives no new work after the withdrawal's acceptance plus the permit
 * duration.
 */
export function checkWithdrawals(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  const work = listEngineWork(recording);
  const calls = groupCalls(recording);
  let tested = 0;
  for (const withdrawal of recording.operators) {
    if (withdrawal.action !== 'withdraw' || !withdrawal.accepted) continue;
    const permitMs = recording.permits[`${withdrawal.permit ?? 'settled'}Ms`];
    const boundMs = (withdrawal.acceptedAtMs ?? Infinity) + permitMs;
    const [model, version] = withdrawal.name.split('@');
    tested += recording.calls.filter(
      (call) => call.sentAtMs > boundMs && mayReach(call, model, version),
    ).length;
    for (const entry of work) {
      if (entry.model !== model || entry.version !== version) continue;
      // A stream that started before the bound may resume on another engine.
      if (entry.receivedAtMs <= boundMs || entry.resumeFrom > 0) continue;
      const lateMs = entry.receivedAtMs - boundMs;
      const sentAtMs = calls.get(entry.requestId)?.[0]?.sentAtMs ?? 0;
      violations.push({
        requestId: entry.requestId,
        detail: `${entry.upstream} received new work for ${withdrawal.name} ${lateMs} ms after the bound (sent ${boundMs - sentAtMs} ms before it)`,
      });
    }
  }
  return { property: 'withdrawn version gets no new work', tested, violations };
}

function mayReach(call: CallRecord, model: string | undefined, version: string | undefined) {
  if (call.model === 'auto') return true;
  const [calledModel, calledVersion] = call.model.split('@');
  return calledModel === model && (calledVersion ?? version) === version;
}

/** All requests of a session run on the same version of a model. */
export function checkSessions(recording: Recording): PropertyResult {
  const sessions = new Map<string, number>();
  for (const { requestId, session } of recording.calls) {
    if (session !== undefined) sessions.set(requestId, session);
  }
  const answered = new Map<number, number>();
  for (const { session, complete, status } of recording.calls) {
    if (session === undefined || !complete || status !== 200) continue;
    answered.set(session, (answered.get(session) ?? 0) + 1);
  }
  const pins = new Map<string, string>();
  const violations: Violation[] = [];
  const work = listEngineWork(recording).sort((a, b) => a.receivedAtMs - b.receivedAtMs);
  // Without an answer, the caller has no session token, so the request pins no version.
  const known = new Set(
    recording.calls.filter((call) => call.status === 200).map((call) => call.requestId),
  );
  for (const { requestId, model, version } of work) {
    const session = sessions.get(requestId);
    if (session === undefined || !known.has(requestId)) continue;
    const pin = pins.get(`${session}/${model}`);
    if (pin === undefined) pins.set(`${session}/${model}`, version);
    else if (pin !== version) {
      const detail = `session ${session} moved from ${model}@${pin} to ${model}@${version}`;
      violations.push({ requestId, detail });
    }
  }
  const tested = [...answered.values()].reduce((sum, count) => sum + Math.max(0, count - 1), 0);
  return { property: 'a session keeps its version', tested, violations };
}

const LEAVING_BOUND_MS = 3000;

/** A leaving upstream receives no new work after the bound. */
export function checkLeaving(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  const work = [
    ...listEngineWork(recording),
    ...recording.services.flatMap(({ upstream, calls }) =>
      calls.map((call) => ({ ...call, requestId: call.requestId ?? '', upstream })),
    ),
  ];
  let tested = 0;
  for (const { fault, startedAtMs, endedAtMs, error } of recording.faults) {
    if (fault.kind !== 'upstream-leave' || error !== undefined) continue;
    const boundMs = startedAtMs + LEAVING_BOUND_MS;
    if (endedAtMs <= boundMs) continue;
    tested += 1;
    for (const entry of work) {
      if (entry.upstream !== fault.target || !entry.receivedWhileLeaving) continue;
      if (entry.receivedAtMs <= boundMs || entry.receivedAtMs > endedAtMs) continue;
      const detail = `${fault.target} received work ${entry.receivedAtMs - startedAtMs} ms after it announced that it leaves`;
      violations.push({ requestId: entry.requestId, detail });
    }
  }
  return { property: 'leaving upstream gets no new work', tested, violations };
}
