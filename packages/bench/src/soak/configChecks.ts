import type {
  FaultRecord,
  HistoryRecord,
  MetricsSample,
  PropertyResult,
  Recording,
  Violation,
} from './recording.js';

const IN_FORCE_BOUND_MS = 12_000;
const CONFIG_KINDS = ['workspace', 'model', 'upstream', 'cascade', 'rollout', 'sessionkeys'];
// After a fault, a broken connection may need to time out and reconnect.
const RECOVERY_MS = 6000;

function groupSamples(samples: readonly MetricsSample[]): MetricsSample[][] {
  const groups = new Map<string, MetricsSample[]>();
  for (const sample of samples) {
    const key = `${sample.entry}/${sample.pid}`;
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(sample);
  }
  return [...groups.values()];
}

/** The configuration revision of an instance never decreases during the lifetime of its process. */
export function checkNoRevert(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  let tested = 0;
  for (const samples of groupSamples(recording.samples)) {
    for (const [index, sample] of samples.entries()) {
      const before = samples[index - 1];
      if (!before) continue;
      if (sample.configRevision > before.configRevision) tested += 1;
      if (sample.configRevision >= before.configRevision) continue;
      const detail = `${sample.entry} went from revision ${before.configRevision} to ${sample.configRevision}`;
      violations.push({ detail });
    }
  }
  return { property: 'configuration never goes back', tested, violations };
}

/** Whether a fault stops an instance or disconnects it from the object API or its peers. */
function disruptsInstance(fault: FaultRecord, entry: string): boolean {
  const { kind, target } = fault.fault;
  return /^(api|peers|platform)-/.test(kind) || (kind.startsWith('entry-') && target === entry);
}

function isFreeOfDisruption(recording: Recording, entry: string, fromMs: number, toMs: number) {
  return !recording.faults.some(
    (fault) =>
      disruptsInstance(fault, entry) &&
      fault.startedAtMs <= toMs &&
      fault.endedAtMs + RECOVERY_MS >= fromMs,
  );
}

function listConfigChanges(recording: Recording): HistoryRecord[] {
  return recording.history.filter((change) => CONFIG_KINDS.includes(change.kind));
}

/** A change is in force within the bound on every instance that no fault disrupts. */
export function checkInForce(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  let tested = 0;
  for (const entry of Object.keys(recording.zones)) {
    const samples = recording.samples.filter((sample) => sample.entry === entry);
    for (const change of listConfigChanges(recording)) {
      const boundMs = change.atMs + IN_FORCE_BOUND_MS;
      // The change precedes the first sample, so the instance may not have been running.
      if (change.atMs < (samples[0]?.atMs ?? Infinity)) continue;
      if (!isFreeOfDisruption(recording, entry, change.atMs, boundMs)) continue;
      const inForce = samples.find(
        (sample) => sample.atMs >= change.atMs && sample.configRevision >= change.revision,
      );
      const last = samples.at(-1);
      // Sampling ended before the bound.
      if (!inForce && (last?.atMs ?? 0) < boundMs) continue;
      tested += 1;
      if (inForce && inForce.atMs <= boundMs) continue;
      const delay = inForce ? `after ${inForce.atMs - change.atMs} ms` : 'never';
      const detail = `${change.kind}/${change.name} revision ${change.revision} in force on ${entry} ${delay}`;
      violations.push({ detail });
    }
  }
  if (!recording.lastChange) violations.push({ detail: 'no change was accepted after the faults' });
  return { property: 'change in force within 12 s', tested, violations };
}

/**
 * At most one of several changes that expect the same version is accepted; it is in the history.
 */
export function checkRaces(recording: Recording): PropertyResult {
  const races = new Map<number, typeof recording.operators>();
  for (const change of recording.operators) {
    if (change.race === undefined) continue;
    races.set(change.race, [...(races.get(change.race) ?? []), change]);
  }
  const revisions = new Set(recording.history.map((change) => change.revision));
  const violations: Violation[] = [];
  for (const [race, changes] of races) {
    const accepted = changes.filter((change) => change.accepted);
    if (accepted.length > 1) {
      violations.push({ detail: `race ${race}: ${accepted.length} changes were accepted` });
    }
    for (const { revision = 0, name } of accepted) {
      if (revisions.has(revision)) continue;
      violations.push({ detail: `race ${race}: the change of ${name} is not in the history` });
    }
  }
  return { property: 'one of racing changes is accepted', tested: races.size, violations };
}

/**
 * A graceful restart exits with code 0 and interrupts no request that the instance had accepted.
 */
export function checkRestarts(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  let tested = 0;
  for (const { fault, startedAtMs, endedAtMs, exitCode, error } of recording.faults) {
    if (fault.kind !== 'entry-restart') continue;
    tested += 1;
    if (exitCode !== 0) {
      const detail = `${fault.target} stopped with code ${exitCode} ${error ?? ''}`.trim();
      violations.push({ detail });
    }
    for (const call of recording.calls) {
      const isOpen = call.sentAtMs <= endedAtMs && call.endedAtMs >= startedAtMs;
      if (call.entry !== fault.target || !isOpen || call.error === undefined) continue;
      // A refused connection carried no request.
      if (call.error.includes('ECONNREFUSED')) continue;
      const detail = `cut by the graceful restart of ${fault.target}: ${call.error}`;
      violations.push({ requestId: call.requestId, detail });
    }
  }
  return { property: 'graceful restart cuts no request', tested, violations };
}

/** The invariant counters of the instances show no violation. */
export function checkInvariantCounters(recording: Recording): PropertyResult {
  const violations: Violation[] = [];
  let tested = 0;
  for (const samples of groupSamples(recording.samples)) {
    const last = samples.at(-1);
    if (!last) continue;
    tested += Object.values(last.checks).reduce((sum, count) => sum + count, 0);
    for (const [name, count] of Object.entries(last.violations)) {
      if (count > 0) violations.push({ detail: `${last.entry} counted ${count} of ${name}` });
    }
  }
  return { property: 'invariants asserted in the program', tested, violations };
}
