import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import type { RelayConfig, Route } from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';

import type { CallerRequest } from './support/caller.js';
import { sendRequest } from './support/caller.js';
import { API_KEY, createConfig, createRoute, RelayFixture } from './support/relayFixture.js';
import type { ReceivedRequest, ScriptedUpstream } from './support/scriptedUpstream.js';
import { formatAnswer } from './support/scriptedUpstream.js';

/** Longer than the 200 ms after which requests were refused before they waited in a queue. */
const LONG_WAIT_MS = 350;
const ARRIVAL_GAP_MS = 50;
const OTHER_KEY = 'key-2';

/** Creates a route to engines, whose slots the relay never exceeds. */
function createEngineRoute(name: string, overrides: Partial<Route> = {}): Route {
  return createRoute({ name, pathPrefix: `/${name}/`, modelSizes: ['model'], ...overrides });
}

function createEngineConfig(version: number, routes: Route[]): RelayConfig {
  const engine = { slots: 1, memoryTokens: 0, priceByModel: {} };
  return {
    ...createConfig(version, routes),
    services: [{ name: 'app', maxConnections: 100, engine }],
    workspaces: [
      { name: 'workspace-1', apiKeys: [API_KEY] },
      { name: 'workspace-2', apiKeys: [OTHER_KEY], priority: 0 },
    ],
  };
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

describe('requests that wait for the only slot of an engine', () => {
  let fixture: RelayFixture;
  let engine: ScriptedUpstream;
  let held: { socket: Socket; request: ReceivedRequest }[] = [];

  afterEach(async () => {
    await fixture.close();
  });

  async function open(routes: Route[]): Promise<void> {
    fixture = await RelayFixture.open(routes);
    fixture.store.config.put('main', createEngineConfig(2, routes));
    await fixture.waitForLine('"event":"config_applied","version":2');
    held = [];
    const script = (socket: Socket, request: ReceivedRequest) => held.push({ socket, request });
    engine = await fixture.addUpstream('engine', script, { slots: 1 });
    await fixture.waitReady();
  }

  function send(name: string, options: CallerRequest = {}) {
    return sendRequest(fixture.callerPort, { path: `/${name}/item`, ...options });
  }

  async function waitForWaiting(count: number): Promise<void> {
    const isShown = async () => {
      const answer = await fetch(`http://127.0.0.1:${fixture.readinessPort}/metrics`);
      return (await answer.text()).includes(`waiting_requests{service="app"} ${count}`);
    };
    await waitFor(isShown, { what: `${count} waiting requests`, timeoutMs: 5000 });
  }

  async function waitForReceived(count: number): Promise<void> {
    await waitFor(() => engine.received.length >= count, { what: 'a request', timeoutMs: 5000 });
  }

  /** Answers the request that holds the slot. */
  function answerHeld(): void {
    const { socket, request } = held.shift()!;
    socket.end(formatAnswer(request, 200, 'ok'));
  }

  function listPaths(): string[] {
    return engine.received.map(({ path }) => path);
  }

  it('gives the freed slot to the more urgent request, whichever came first', async () => {
    const routes = [
      createEngineRoute('patient', { latencyGoalMs: 1900 }),
      createEngineRoute('urgent', { latencyGoalMs: 700 }),
    ];
    await open(routes);
    const running = send('patient');
    await waitForReceived(1);
    const patient = send('patient', { headers: { 'x-deadline-ms': '1950' } });
    await delay(ARRIVAL_GAP_MS);
    const urgent = send('urgent');
    await delay(LONG_WAIT_MS);
    for (const count of [2, 3, 4]) {
      answerHeld();
      if (count < 4) await waitForReceived(count);
    }
    const answers = await Promise.all([running, patient, urgent]);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [200, 200, 200],
    );
    assert.deepEqual(listPaths(), ['/patient/item', '/urgent/item', '/patient/item']);
  });

  it('puts the priority of the workspace before that of the route', async () => {
    const routes = [
      createEngineRoute('important', { priority: 1, latencyGoalMs: 1500 }),
      createEngineRoute('usual', { priority: 2, latencyGoalMs: 1500 }),
    ];
    await open(routes);
    const running = send('usual');
    await waitForReceived(1);
    const byRoute = send('important');
    await waitForWaiting(1);
    const byWorkspace = send('usual', { headers: { 'api-key': OTHER_KEY } });
    await waitForWaiting(2);
    for (const count of [2, 3, 4]) {
      answerHeld();
      if (count < 4) await waitForReceived(count);
    }
    await Promise.all([running, byRoute, byWorkspace]);
    assert.deepEqual(listPaths(), ['/usual/item', '/usual/item', '/important/item']);
  });

  it('gives no slot to a request whose caller has left', async () => {
    await open([createEngineRoute('a'), createEngineRoute('b')]);
    const running = send('a');
    await waitForReceived(1);
    const abort = new AbortController();
    const left = send('a', { signal: abort.signal });
    await waitForWaiting(1);
    abort.abort();
    await assert.rejects(left);
    await waitForWaiting(0);
    const next = send('b');
    await waitForWaiting(1);
    answerHeld();
    await waitForReceived(2);
    answerHeld();
    await Promise.all([running, next]);
    assert.deepEqual(listPaths(), ['/a/item', '/b/item']);
  });

  it('refuses a request at once that cannot be complete by its deadline', async () => {
    await open([createEngineRoute('a')]);
    const first = send('a');
    await waitForReceived(1);
    await delay(LONG_WAIT_MS);
    answerHeld();
    await first;
    const running = send('a');
    await waitForReceived(2);
    const startedMs = performance.now();
    const refused = await send('a', { headers: { 'x-deadline-ms': String(LONG_WAIT_MS) } });
    assert.equal(refused.status, 503);
    assert.ok(performance.now() - startedMs < LONG_WAIT_MS - 100, 'refused before its deadline');
    assert.ok(Number(refused.headers['retry-after']) > 0);
    answerHeld();
    assert.equal((await running).status, 200);
    assert.equal(engine.received.length, 2);
  });

  it('sends no request whose key was revoked while it waited', async () => {
    const routes = [createEngineRoute('a')];
    await open(routes);
    const running = send('a');
    await waitForReceived(1);
    const waiting = send('a', { headers: { 'api-key': OTHER_KEY } });
    await waitForWaiting(1);
    const config = createEngineConfig(3, routes);
    fixture.store.config.put('main', { ...config, workspaces: config.workspaces!.slice(0, 1) });
    await fixture.waitForLine('"event":"config_applied","version":3');
    answerHeld();
    await running;
    assert.equal((await waiting).status, 503);
    assert.equal(engine.received.length, 1);
  });

  it('refuses a request at once when its last upstream is removed', async () => {
    await open([createEngineRoute('a')]);
    const running = send('a');
    await waitForReceived(1);
    const waiting = send('a');
    await waitForWaiting(1);
    const startedMs = performance.now();
    fixture.store.upstreams.remove('engine');
    assert.equal((await waiting).status, 503);
    assert.ok(performance.now() - startedMs < 1000, 'refused before its deadline');
    answerHeld();
    await running;
  });
});

describe('an upstream that rejects a request because it is full', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  (['idempotent', 'non_idempotent'] as const).forEach((kind) => {
    it(`gets the request again when it has room (${kind})`, async () => {
      fixture = await RelayFixture.open([createRoute({ kind })]);
      const upstream = await fixture.addUpstream('a', (socket, request) => {
        const isFirst = upstream.received.length === 1;
        const rejection = formatAnswer(request, 503, '', { 'X-Not-Executed': '1' });
        socket.end(isFirst ? rejection : formatAnswer(request, 200, 'ok'));
      });
      await fixture.waitReady();
      assert.equal((await sendRequest(fixture.callerPort)).status, 200);
      assert.equal(upstream.received.length, 2);
    });
  });

  it('is left out after it has rejected the request twice', async () => {
    fixture = await RelayFixture.open([createRoute()]);
    const upstream = await fixture.addUpstream('a', (socket, request) =>
      socket.end(formatAnswer(request, 503, '', { 'X-Not-Executed': '1' })),
    );
    await fixture.waitReady();
    assert.equal((await sendRequest(fixture.callerPort)).status, 503);
    assert.equal(upstream.received.length, 2);
  });
});
