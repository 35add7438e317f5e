import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { CallerFixture } from './callerFixture.js';

const SERVICE = 'riga-a-standings-1';
const NOT_RUN_STATUSES = [408, 421, 429, 503];

describe('service that writes the refusal of an earlier request once more', () => {
  let fixture: CallerFixture;

  before(async () => {
    fixture = await CallerFixture.start();
  });

  after(() => fixture.close());

  for (const method of ['POST', 'GET']) {
    it(`does not make a ${method} request that it ran look as if it had not run`, async () => {
      await fixture.cluster.injectFault(SERVICE, { fault: 'repeatRefusal', count: 1 });
      const path = `/services/standings/${method.toLowerCase()}`;
      const answer = await fixture.send(method, path, {
        headers: method === 'POST' ? { 'idempotency-key': 'k1' } : {},
        ...(method === 'POST' ? { body: '{}' } : {}),
      });
      assert.equal(NOT_RUN_STATUSES.includes(answer.status), false, answer.text);
      const { calls } = (await fixture.cluster.fetchJournal(SERVICE)) as {
        calls: { path: string }[];
      };
      const runs = calls.filter((call) => call.path === path.replace('/services/standings', ''));
      if (method === 'POST') assert.equal(runs.length, 1);
      else assert.ok(runs.length >= 1);
    });
  }
});
