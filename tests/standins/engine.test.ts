import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { computeQuality, createAnswerText, EngineStandin } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

interface Chunk {
  choices: { delta: { content?: string }; finish_reason: string | null }[];
  usage?: { completion_tokens: number };
  x_quality?: number;
}

describe('EngineStandin', () => {
  let engine: EngineStandin;

  beforeEach(async () => {
    engine = await new EngineStandin({
      versions: [{ model: 'small', version: '1' }],
      quality: { 'small@1': 0.7 },
      firstTokenMs: 1,
      tokenMs: 1,
      loadMs: 1,
    }).start();
  });

  afterEach(() => engine.close());

  function post(path: string, body: object, headers: Record<string, string> = {}) {
    return fetch(`${engine.url}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify(body),
    });
  }

  function complete(requestId: string, body: object, prompt = 'Season review') {
    const messages = [{ role: 'user', content: prompt }];
    const headers = { 'x-request-id': requestId, 'x-attempt': '2' };
    return post('/v1/chat/completions', { model: 'small@1', messages, ...body }, headers);
  }

  /** Reads a stream to its end or until the connection breaks. */
  async function readStream(response: Response): Promise<{ chunks: Chunk[]; isDone: boolean }> {
    let text = '';
    try {
      for await (const bytes of response.body ?? []) text += Buffer.from(bytes as Uint8Array);
    } catch {
      // A broken connection ends the text early; the missing [DONE] shows it.
    }
    const data = text
      .split('\n\n')
      .filter((event) => event.startsWith('data: '))
      .map((event) => event.slice('data: '.length));
    const isDone = data.at(-1) === '[DONE]';
    const chunks = data
      .filter((event) => event !== '[DONE]')
      .map((event) => JSON.parse(event) as Chunk);
    return { chunks, isDone };
  }

  const joinText = (chunks: Chunk[]) =>
    chunks.map((chunk) => chunk.choices[0]?.delta.content ?? '').join('');

  describe('streams', () => {
    it('carry the deterministic text, the usage, the quality and the final [DONE]', async () => {
      const response = await complete('r1', { stream: true, max_tokens: 6 });
      assert.equal(response.headers.get('x-request-id'), 'r1');
      assert.equal(response.headers.get('x-attempt'), '2');
      const { chunks, isDone } = await readStream(response);
      assert.equal(joinText(chunks), createAnswerText('r1', 6));
      assert.equal(isDone, true);
      const last = chunks.at(-1);
      assert.equal(last?.usage?.completion_tokens, 6);
      const input = { requestId: 'r1', model: 'small', version: '1', meanQuality: 0.7 };
      assert.equal(last?.x_quality, computeQuality(input));
    });

    it('do not look complete when cut, and send exactly the rest when resumed', async () => {
      engine.faults.inject({ fault: 'cutStream', afterTokens: 2, count: 1 });
      const body = { stream: true, metadata: { expected_tokens: 5 } };
      const cut = await readStream(await complete('r2', body));
      assert.equal(cut.isDone, false);
      const rest = await readStream(await complete('r2', { ...body, resume_from: 2 }));
      assert.equal(createAnswerText('r2', 2) + joinText(rest.chunks), createAnswerText('r2', 5));
      assert.deepEqual(
        engine.journal.map((entry) => entry.outcome),
        ['failed', 'done'],
      );
    });

    it('end without [DONE] when they are cancelled', async () => {
      const response = await complete('r3', { stream: true, max_tokens: 100_000 });
      await post('/v1/cancel', { requestId: 'r3' });
      assert.equal((await readStream(response)).isDone, false);
      assert.equal(engine.journal[0]?.outcome, 'cancelled');
    });
  });

  it('refuses a version that is not loaded and records the refusal in the journal', async () => {
    const response = await complete('r4', { model: 'small@9' });
    assert.equal(response.status, 404);
    assert.equal(engine.journal[0]?.outcome, 'refused');
    assert.equal(engine.journal[0]?.startedAtMs, undefined);
  });

  describe('orders', () => {
    const getState = async (server: EngineStandin) =>
      (await (await fetch(`${server.url}/state`)).json()) as { versions: { version: string }[] };

    it('are refused from a former lease holder, whose fencing token is outdated', async () => {
      const load = { order: 'load', model: 'small', version: '2', fencing: 5 };
      assert.equal((await post('/orders', load)).status, 202);
      const isLoaded = async () => (await getState(engine)).versions.length === 2;
      await waitFor(isLoaded, { what: 'small@2 loaded', timeoutMs: 10_000 });
      const unload = { order: 'unload', model: 'small', version: '2', fencing: 4 };
      assert.equal((await post('/orders', unload)).status, 409);
      assert.equal(await isLoaded(), true);
    });

    it('are applied with an outdated fencing token if the engine does not check it', async () => {
      const unchecked = await new EngineStandin({ checksFencing: false }).start();
      try {
        for (const fencing of [5, 4]) {
          const body = JSON.stringify({ order: 'unload', model: 'small', version: '1', fencing });
          const headers = { 'content-type': 'application/json' };
          const init = { method: 'POST', headers, body };
          assert.equal((await fetch(`${unchecked.url}/orders`, init)).status, 202);
        }
      } finally {
        await unchecked.close();
      }
    });
  });

  describe('faults', () => {
    it('crash breaks all requests in flight; the engine restarts on the same port', async () => {
      engine.faults.inject({ fault: 'crashOnMarker', marker: 'BOOM', downMs: 10 });
      const innocent = await complete('r5', { stream: true, max_tokens: 100_000 });
      await assert.rejects(complete('r6', {}, 'BOOM'));
      assert.equal((await readStream(innocent)).isDone, false);
      assert.deepEqual(
        engine.journal.map((entry) => entry.outcome),
        ['crashed', 'crashed'],
      );
      const isBack = async () => (await complete('r7', {})).ok;
      await waitFor(isBack, { what: 'the engine to restart', timeoutMs: 10_000 });
    });

    it('swapped answers carry the id of the other request', async () => {
      engine.faults.inject({ fault: 'swapAnswers', count: 1 });
      const answers = await Promise.all([complete('r8', {}), complete('r9', {})]);
      const ids = answers.map((answer) => answer.headers.get('x-request-id'));
      assert.deepEqual(ids, ['r9', 'r8']);
    });

    it('silence stops traffic on open connections only, and new connections work', async () => {
      const response = await complete('r10', { stream: true, max_tokens: 100_000 });
      let received = 0;
      const reading = (async () => {
        for await (const bytes of response.body ?? []) {
          received +=
            Buffer.from(bytes as Uint8Array)
              .toString()
              .split('data: ').length - 1;
        }
      })().catch(() => {});
      const entry = engine.journal[0];
      await waitFor(() => received > 1, { what: 'the first token', timeoutMs: 10_000 });
      engine.faults.inject({ fault: 'silence' });
      const sentBefore = entry?.tokens ?? 0;
      const isRunning = () => (entry?.tokens ?? 0) > sentBefore + 50;
      await waitFor(isRunning, { what: '50 more tokens', timeoutMs: 10_000 });
      // The first event of a stream carries the role and no token.
      assert.ok(received <= sentBefore + 1);
      const fresh = await post('/v1/chat/completions', {
        model: 'small',
        messages: [{ role: 'user', content: 'Rules query' }],
      });
      assert.equal(fresh.status, 200);
      await post('/v1/cancel', { requestId: 'r10' });
      await engine.close();
      await reading;
    });
  });
});
