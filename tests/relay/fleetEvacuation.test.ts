import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { waitFor } from '@cactusstair/utils';

import { sendRequest } from './support/caller.js';
import { createRecord } from './support/records.js';
import { createConfig, createRoute, MemoryStore, RelayFixture } from './support/relayFixture.js';
import { formatAnswer, ScriptedUpstream } from './support/scriptedUpstream.js';

/** Enough for reporters, which read for the others of their zone. */
const INSTANCES = 15;
const EVACUATE_MS = 5000;
const MARGIN_MS = 1000;
const RATE_PER_S = 3;
const bounds = { evacuateMs: EVACUATE_MS, coldOverage: 1.5, coldSlack: 5 };
const MAX_IN_SECOND = RATE_PER_S * bounds.coldOverage + bounds.coldSlack;

describe('a fleet with reporters', () => {
  const fleet: RelayFixture[] = [];

  const routes = [createRoute()];

  const store = new MemoryStore();

  const sentAtMs: number[] = [];

  let cold: ScriptedUpstream;

  before(async () => {
    cold = await ScriptedUpstream.open((socket, request) => {
      sentAtMs.push(performance.now());
      socket.end(formatAnswer(request, 200, 'ok'));
    });
    const app = { name: 'app', maxConnections: 100 };
    const warmup = { warmupMs: 60_000, warmupRequestsPerSecond: RATE_PER_S };
    store.config.put('main', { ...createConfig(1, routes), services: [{ ...app, ...warmup }] });
    store.upstreams.put(
      'cold',
      createRecord('cold', { port: cold.port, warmupLeftMs: 60_000, zone: 'zone-2' }),
    );
    for (let index = 0; index < INSTANCES; index += 1) {
      const name = `instance-${index + 10}`;
      fleet.push(await RelayFixture.open(routes, undefined, { ...bounds, name, store }));
    }
    for (const fixture of fleet) await fixture.waitReady();
  });

  after(async () => {
    for (const fixture of fleet) await fixture.close();
    await cold.close();
  });

  // All instances sent to a cold upstream as if they were alone (FAILBACK on a small day).
  it('keeps a cold upstream within its bound, and serves what its rate allows', async () => {
    const startedMs = performance.now();
    const statuses = new Map<number, number>();
    while (performance.now() - startedMs < 14_000) {
      const answers = await Promise.all(fleet.map(({ callerPort }) => sendRequest(callerPort)));
      for (const { status } of answers) statuses.set(status, (statuses.get(status) ?? 0) + 1);
    }
    assert.deepEqual([...statuses.keys()].sort(), [200, 503]);
    for (const start of sentAtMs) {
      const count = sentAtMs.filter((time) => time >= start && time < start + 1000).length;
      assert.ok(count <= MAX_IN_SECOND, `${count} in a second`);
    }
    // Early instances know all names only after they have listed the records again.
    const lastMs = performance.now() - 4000;
    const recent = sentAtMs.filter((time) => time >= lastMs).length;
    assert.ok(recent >= 4 * RATE_PER_S * 0.7, `${recent} in 4 s`);
  });

  it('applies an evacuation everywhere in time, with few reads of the store', async () => {
    const calls = store.evacuations.calls;
    const startedMs = performance.now();
    store.evacuations.put('zone-2', { zone: 'zone-2' });
    for (const fixture of fleet) {
      await fixture.waitForLine('"event":"evacuation","zone":"zone-2","state":"started"');
    }
    assert.ok(performance.now() - startedMs < EVACUATE_MS - MARGIN_MS);
    const countBefore = sentAtMs.length;
    for (const { callerPort } of fleet) {
      assert.equal((await sendRequest(callerPort)).status, 503);
    }
    assert.equal(sentAtMs.length, countBefore);
    // Without confirmations by peers each instance would read the store in each 2 s.
    await waitFor(() => performance.now() - startedMs > 6000, { what: '6 s', timeoutMs: 8000 });
    const perSecond = (store.evacuations.calls - calls) / 6;
    assert.ok(perSecond < INSTANCES / 3, `${perSecond} calls in a second`);
  });
});
