import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { EntryAddresses, ClusterOptions } from '@cactusstair/place';
import { LocalCluster } from '@cactusstair/place';
import type { EngineJournalEntry, ServiceJournalEntry } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

import { CallerClient } from './callerClient.js';
import { OperatorClient } from './operatorClient.js';

/** Timeout for conditions that take seconds on an idle machine. */
export const WAIT_MS = 30_000;

/** A run of a request, from an engine's journal. */
export interface EngineRun extends EngineJournalEntry {
  engine: string;
}

/** A run of a call, from a service's journal. */
export interface ServiceRun extends ServiceJournalEntry {
  service: string;
}

type TestClusterOptions = Omit<ClusterOptions, 'workspaces' | 'runDir'> &
  Partial<Pick<ClusterOptions, 'workspaces'>>;

/** A cluster with clients for its first workspace and the final checks of every test file. */
export class TestCluster {
  readonly caller: CallerClient;

  private readonly operators = new Map<string, OperatorClient>();

  private constructor(readonly cluster: LocalCluster) {
    this.caller = new CallerClient(cluster.workspaces[0]?.apiKey ?? '');
  }

  /** Starts the cluster with fatal invariants and a short shutdown. */
  static async start(options: TestClusterOptions): Promise<TestCluster> {
    const cluster = await LocalCluster.start({
      workspaces: [{ name: 'ladders' }],
      ...options,
      runDir: mkdtempSync(join(tmpdir(), 'cactusstair-place-')),
      entrySettings: {
        invariants: { fatal: true },
        shutdown: { unreadyMs: 1 },
        ...options.entrySettings,
      },
    });
    return new TestCluster(cluster);
  }

  getEntry(name: string): EntryAddresses {
    const entry = this.cluster.entries.find((each) => each.name === name);
    if (!entry) throw new Error(`the cluster has no entry instance "${name}"`);
    return entry;
  }

  /** Returns the base URL of an instance's caller API. */
  getCallersUrl(name: string): string {
    return this.getEntry(name).callers;
  }

  getOperator(name: string): OperatorClient {
    let client = this.operators.get(name);
    if (!client) {
      client = new OperatorClient(this.getEntry(name).operators);
      this.operators.set(name, client);
    }
    return client;
  }

  async listEngineRuns(requestId?: string): Promise<EngineRun[]> {
    const runs = await this.listRuns<EngineJournalEntry>('engine', 'requests');
    return runs
      .map(({ upstream, ...entry }) => ({ ...entry, engine: upstream }))
      .filter((entry) => requestId === undefined || entry.requestId === requestId);
  }

  /** Lists the calls that services ran, optionally of one idempotency key. */
  async listServiceRuns(key?: string): Promise<ServiceRun[]> {
    const runs = await this.listRuns<ServiceJournalEntry>('service', 'calls');
    return runs
      .map(({ upstream, ...entry }) => ({ ...entry, service: upstream }))
      .filter((entry) => key === undefined || entry.idempotencyKey === key);
  }

  async waitForReady(name: string): Promise<void> {
    const { metrics } = this.getEntry(name);
    await waitFor(async () => (await fetch(`${metrics}/readyz`)).ok, {
      what: `${name} to be ready`,
      timeoutMs: WAIT_MS,
    });
  }

  async clearFaults(...names: string[]): Promise<void> {
    for (const name of names) await this.cluster.injectFault(name, { fault: 'clear' });
  }

  /** Reads a metric of an instance, summed over its label sets. */
  async readMetric(name: string, metric: string): Promise<number> {
    const text = await (await fetch(`${this.getEntry(name).metrics}/metrics`)).text();
    return text
      .split('\n')
      .filter((line) => line.startsWith(`${metric}{`) || line.startsWith(`${metric} `))
      .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)), 0);
  }

  /** Fails if a journal contains a run of a request that was always answered "not run". */
  async assertRefusedRequestsDidNotRun(): Promise<void> {
    const refused = new Set<string>();
    for (const { requestId, ran } of this.caller.answers) if (ran === 'no') refused.add(requestId);
    for (const { requestId, ran } of this.caller.answers)
      if (ran !== 'no') refused.delete(requestId);
    const started = [
      ...(await this.listEngineRuns()).filter((run) => run.startedAtMs !== undefined),
      ...(await this.listServiceRuns()),
    ].filter((run) => refused.has(run.requestId ?? ''));
    assert.deepEqual(started, [], 'requests that were answered "not run" were run');
  }

  private async assertNoViolations(): Promise<void> {
    for (const { name } of this.cluster.entries) {
      if (!this.cluster.getProcess(name).isRunning) continue;
      const violations = await this.readMetric(name, 'cactusstair_invariant_violations_total');
      assert.equal(violations, 0, `${name} counted invariant violations`);
    }
  }

  /** Clears the faults, checks the "not run" answers and the invariants, and stops the cluster. */
  async close(): Promise<void> {
    try {
      for (const child of this.cluster.processes) {
        child.resume();
        if (child.role !== 'entry' && child.isRunning) await this.clearFaults(child.name);
      }
      await this.assertRefusedRequestsDidNotRun();
      await this.assertNoViolations();
    } finally {
      for (const client of this.operators.values()) client.close();
      await this.cluster.close();
    }
    rmSync(this.cluster.runDir, { recursive: true, force: true });
  }

  private async listRuns<Entry>(role: string, field: string) {
    const names = this.cluster.processes.filter((child) => child.role === role && child.isRunning);
    const journals = await Promise.all(
      names.map(async ({ name }) => {
        // A stand-in stopped by an injected crash keeps its journal and restarts.
        const journal = await waitFor(
          async () => (await this.cluster.fetchJournal(name)) as Record<string, Entry[]>,
          { what: `the journal of ${name}`, timeoutMs: WAIT_MS },
        );
        return (journal[field] ?? []).map((entry) => ({ ...entry, upstream: name }));
      }),
    );
    return journals.flat();
  }
}
