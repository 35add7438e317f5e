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

/** Parses the configuration revision and invariant counters from the Prometheus text format. */
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
  cluster: LocalCluster,
  entry: EntryAddresses,
): Promise<MetricsSample | undefined> {
  const { pid } = cluster.getProcess(entry.name);
  try {
    const signal = AbortSignal.timeout(SAMPLE_TIMEOUT_MS);
    const answer = await fetch(`${entry.metrics}/metrics`, { signal });
    const text = await answer.text();
    // After a restart in the meantime, the answer may come from the new process.
    if (cluster.getProcess(entry.name).pid !== pid) return undefined;
    return { entry: entry.name, pid, atMs: Date.now(), ...parseMetrics(text) };
  } catch {
    return undefined;
  }
}

/** Samples the metrics of all entry instances until `signal` aborts. */
export async function sampleMetrics(
  cluster: LocalCluster,
  samples: MetricsSample[],
  signal: AbortSignal,
): Promise<void> {
  const sampleEntry = async (entry: EntryAddresses) => {
    for (;;) {
      const sample = await readSample(cluster, entry);
      if (sample) samples.push(sample);
      if (signal.aborted) return;
      await systemClock.sleep(SAMPLE_INTERVAL_MS, signal);
    }
  };
  await Promise.all(cluster.entries.map(sampleEntry));
}

/** Fetches the journals of all engines. */
export async function fetchEngineJournals(cluster: LocalCluster): Promise<EngineJournal[]> {
  const engines = cluster.processes.filter(({ role }) => role === 'engine');
  return Promise.all(
    engines.map(async ({ name }) => {
      const journal = (await cluster.fetchJournal(name)) as { requests: EngineJournalEntry[] };
      return { upstream: name, requests: journal.requests };
    }),
  );
}

/** Fetches the journals of all plain services. */
export async function fetchServiceJournals(cluster: LocalCluster): Promise<ServiceJournal[]> {
  const services = cluster.processes.filter(({ role }) => role === 'service');
  return Promise.all(
    services.map(async ({ name }) => {
      const journal = (await cluster.fetchJournal(name)) as { calls: ServiceJournalEntry[] };
      return { upstream: name, calls: journal.calls };
    }),
  );
}

/** Fetches the history of the object API without the values. */
export async function fetchHistory(cluster: LocalCluster): Promise<HistoryRecord[]> {
  interface TimedEvent {
    event:
      | { type: 'put'; object: { kind: string; name: string; revision: number; version: number } }
      | { type: 'delete'; kind: string; name: string; revision: number };
    atMs: number;
  }
  const answer = await fetch(`${cluster.platformUrl}/v1/history`);
  const { events } = (await answer.json()) as { events: TimedEvent[] };
  return events.map(({ event, atMs }) => {
    const { kind, name, revision } = event.type === 'put' ? event.object : event;
    const version = event.type === 'put' ? event.object.version : 0;
    return { kind, name, revision, version, deleted: event.type === 'delete', atMs };
  });
}

/** Waits until all entry instances are ready and no engine has a running request. */
export async function waitUntilIdle(cluster: LocalCluster): Promise<void> {
  for (const entry of cluster.entries) {
    await waitFor(async () => (await fetch(`${entry.metrics}/readyz`)).ok, {
      what: `${entry.name} to be ready after the faults`,
      timeoutMs: SETTLE_TIMEOUT_MS,
      intervalMs: 200,
    });
  }
  await waitFor(
    async () => {
      const journals = await fetchEngineJournals(cluster);
      return journals.every(({ requests }) => requests.every((run) => run.outcome !== 'running'));
    },
    { what: 'all requests on the engines to end', timeoutMs: SETTLE_TIMEOUT_MS, intervalMs: 500 },
  );
}
