import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { LocalCluster } from '@cactusstair/place';
import { OperatorClient } from '@cactusstair/protocol';
import type { EngineJournalEntry } from '@cactusstair/standins';
import { createAnswerText } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';
import { credentials } from '@grpc/grpc-js';

const MARKER = 'CRASH-ENGINE';
const ENGINES = ['riga-a-engine-1', 'riga-a-engine-2'];
const CONCURRENT_REQUESTS = 8;
const ROUNDS = 4;
const TOKENS = 6;

describe('requests in flight beside a crashing request', () => {
  let cluster: LocalCluster;
  const runDir = mkdtempSync(join(tmpdir(), 'cactusstair-test-'));

  before(async () => {
    cluster = await LocalCluster.start({
      runDir,
      zones: [
        {
          name: 'riga-a',
          engines: [
            { versions: ['small@1', 'small@2'], count: 2, options: { tokenMs: 200, slots: 64 } },
          ],
        },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }, { version: '2' }] }],
      workspaces: [{ name: 'ladders', apiKey: 'ladders-key' }],
      entrySettings: { invariants: { fatal: true } },
    });
  });

  after(async () => {
    await cluster.close();
    rmSync(runDir, { recursive: true });
  });

  async function send(requestId: string, model: string, prompt: string) {
    const response = await fetch(`${cluster.entries[0]?.callers}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: 'Bearer ladders-key',
        'content-type': 'application/json',
        'x-request-id': requestId,
      },
      body: JSON.stringify({
        model,
        messages: [{ role: 'user', content: prompt }],
        metadata: { expected_tokens: String(TOKENS) },
      }),
    });
    const body = (await response.json()) as {
      choices?: { message: { content: string } }[];
      error?: { message: string };
    };
    return { status: response.status, text: body.choices?.[0]?.message.content, error: body.error };
  }

  async function listRuns(): Promise<EngineJournalEntry[]> {
    // A crashed engine refuses connections until it has restarted.
    const journals = await waitFor(
      () => Promise.all(ENGINES.map((name) => cluster.fetchJournal(name))),
      { what: 'the journals', timeoutMs: 5000 },
    );
    return journals.flatMap((journal) => (journal as { requests: EngineJournalEntry[] }).requests);
  }

  async function crashEngineDuringRequests(prefix: string, model: string) {
    await listRuns();
    for (const name of ENGINES) {
      await cluster.injectFault(name, {
        fault: 'crashOnMarker',
        marker: MARKER,
        downMs: 300,
        afterTokens: 1,
      });
    }
    const responses = Array.from({ length: CONCURRENT_REQUESTS }, (_, index) =>
      send(`${prefix}-${index}`, model, `question ${prefix} ${index}`),
    );
    await waitFor(
      async () =>
        (await listRuns()).filter((run) => run.requestId.startsWith(prefix)).length >=
        CONCURRENT_REQUESTS,
      { what: 'the concurrent requests to run', timeoutMs: 10_000 },
    );
    const crashing = send(`${prefix}-marker`, model, `${MARKER} ${prefix}`);
    return { responses, crashing };
  }

  it('are all answered even if they exceed the retry budget', async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const { responses, crashing } = await crashEngineDuringRequests(`beside-${round}`, 'small@1');
      for (const [index, answer] of (await Promise.all(responses)).entries()) {
        const expected = createAnswerText(`beside-${round}-${index}`, TOKENS);
        assert.equal(answer.text, expected, answer.error?.message);
      }
      assert.notEqual((await crashing).status, 200);
    }
    const crashed = (await listRuns()).filter((run) => run.outcome === 'crashed');
    assert.ok(crashed.length > 2 * ROUNDS, `${crashed.length} runs crashed`);
  });

  it('do not run on a version that is withdrawn while they wait for isolation', async () => {
    const { responses } = await crashEngineDuringRequests('waiting', 'small@2');
    await waitFor(
      async () =>
        (await listRuns()).some(
          (run) => run.requestId === 'waiting-marker' && run.outcome === 'crashed',
        ),
      { what: 'the engine to crash', timeoutMs: 10_000 },
    );
    const operator = new OperatorClient(
      cluster.entries[0]?.operators ?? '',
      credentials.createInsecure(),
    );
    await new Promise((resolve, reject) => {
      operator.withdrawVersion(
        { model: 'small', version: '2', expectedVersion: 0 },
        (error, reply) => (error ? reject(error) : resolve(reply)),
      );
    });
    operator.close();
    await Promise.all(responses);
    const metrics = await (await fetch(`${cluster.entries[0]?.metrics}/metrics`)).text();
    assert.doesNotMatch(metrics, /cactusstair_invariant_violations_total\{[^}]*\} [1-9]/);
  });
});
