import type { EntryAddresses, LocalCluster } from '@cactusstair/place';
import type { EngineJournalEntry, ServiceJournalEntry } from '@cactusstair/standins';
import { systemClock, waitFor } from '@cactusstair/utils';
import { fetch } from 'undici';

import type { EngineJournal, HistoryRecord, MetricsSample, ServiceJournal } from './recording.js';

const SAMPLE_INTERVAL_MS = 250;
const SAMPLE_TIMEOUT_MS = 2000;
const SETTLE_TIMEOUT_MS = 60_000;

function parseInvariants(text: string, metric: string): Record<string, number> {
  const pattern = new RegExp(`^${metric}\\{invariant="([^"]+)"\\} (\\d+)`, 'gm');
  return Object.fromEntries(
    [...text.matchAll(pattern)].map(([, name, value]) => [name, Number(value)]),
  );
}

/** Parses the text format of a metrics port. */
export function parseMetrics(
  text: string,
): Pick<MetricsSample, 'configRevision' | 'checks' | 'violations'> {
  return {
    configRevision: Number(/^cactusstair_config_revision (\d+)/m.exec(text)?.[1] ?? 0),
    checks: parseInvariants(text, 'cactusstair_invariant_checks_total'),
    violations: parseInvariants(text, 'cactusstair_invariant_violations_total'),
  };
}

async function readSample(
  place: LocalCluster,
  entry: EntryAddresses,
): Promise<MetricsSample | undefined> {
  const { pid } = place.getProcess(entry.name);
  try {
    const signal = AbortSignal.timeout(SAMPLE_TIMEOUT_MS);
    const answer = await fetch(`${entry.metrics}/metrics`, { signal });
    const text = await answer.text();
    // A process that was replaced meanwhile may have answered in place of `pid`.
    if (place.getProcess(entry.name).pid !== pid) return undefined;
    return { entry: entry.name, pid, atMs: Date.now(), ...parseMetrics(text) };
  } catch {
    return undefined;
  }
}

/** Reads the metrics ports of all entry instances until `signal` aborts. */
export async function sampleMetrics(
  place: LocalCluster,
  samples: MetricsSample[],
  signal: AbortSignal,
): Promise<void> {
  const sampleEntry = async (entry: EntryAddresses) => {
    for (;;) {
      const sample = await readSample(place, entry);
      if (sample) samples.push(sample);
      if (signal.aborted) return;
      await systemClock.sleep(SAMPLE_INTERVAL_MS, signal);
    }
  };
  await Promise.all(place.entries.map(sampleEntry));
}

/** Fetches the journals of all engines. */
export async function fetchEngineJournals(place: LocalCluster): Promise<EngineJournal[]> {
  const engines = place.processes.filter(({ role }) => role === 'engine');
  return Promise.all(
    engines.map(async ({ name }) => {
      const journal = (await place.fetchJournal(name)) as { requests: EngineJournalEntry[] };
      return { upstream: name, requests: journal.requests };
    }),
  );
}

/** Fetches the journals of all plain services. */
export async function fetchServiceJournals(place: LocalCluster): Promise<ServiceJournal[]> {
  const services = place.processes.filter(({ role }) => role === 'service');
  return Promise.all(
    services.map(async ({ name }) => {
      const journal = (await place.fetchJournal(name)) as { calls: ServiceJournalEntry[] };
      return { upstream: name, calls: journal.calls };
    }),
  );
}

/** Fetches the history of the object API, without values. */
export async function fetchHistory(place: LocalCluster): Promise<HistoryRecord[]> {
  interface TimedEvent {
    event:
      | { type: 'put'; object: { kind: string; name: string; revision: number; version: number } }
      | { type: 'delete'; kind: string; name: string; revision: number };
    atMs: number;
  }
  const answer = await fetch(`${place.platformUrl}/v1/history`);
  const { events } = (await answer.json()) as { events: TimedEvent[] };
  return events.map(({ event, atMs }) => {
    const { kind, name, revision } = event.type === 'put' ? event.object : event;
    const version = event.type === 'put' ? event.object.version : 0;
    return { kind, name, revision, version, deleted: event.type === 'delete', atMs };
  });
}

/** Waits until every entry instance is ready and no engine runs a request. */
export async function awaitSettled(place: LocalCluster): Promise<void> {
  for (const entry of place.entries) {
    await waitFor(async () => (await fetch(`${entry.metrics}/readyz`)).ok, {
      what: `${entry.name} to be ready after the faults`,
      timeoutMs: SETTLE_TIMEOUT_MS,
      intervalMs: 200,
    });
  }
  await waitFor(
    async () => {
      const journals = await fetchEngineJournals(place);
      return journals.every(({ requests }) => requests.every((run) => run.outcome !== 'running'));
    },
    { what: 'the engines to end every request', timeoutMs: SETTLE_TIMEOUT_MS, intervalMs: 500 },
  );
}
