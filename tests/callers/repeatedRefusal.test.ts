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

  /** Sends a request whose answer is replaced, and returns its answer and how often it ran. */
  async function sendRefused(method: string) {
    await fixture.cluster.injectFault(SERVICE, { fault: 'repeatRefusal', count: 1 });
    const path = `/${method.toLowerCase()}`;
    const options = method === 'POST' ? { headers: { 'idempotency-key': 'k1' }, body: '{}' } : {};
    const answer = await fixture.send(method, `/services/standings${path}`, options);
    const journal = (await fixture.cluster.fetchJournal(SERVICE)) as { calls: { path: string }[] };
    return { answer, runs: journal.calls.filter((call) => call.path === path).length };
  }

  it('does not make a call that it ran look as if it had not run', async () => {
    const { answer, runs } = await sendRefused('POST');
    assert.equal(NOT_RUN_STATUSES.includes(answer.status), false, answer.text);
    assert.equal(runs, 1);
  });

  it('does not take its place in the answer to an idempotent call', async () => {
    const { answer, runs } = await sendRefused('GET');
    assert.equal(NOT_RUN_STATUSES.includes(answer.status), false, answer.text);
    assert.ok(runs >= 1);
  });
});
