import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { CallerFixture } from './callerFixture.js';

const SERVICE = 'riga-a-standings-1';
/** Inside the status line, between lines, inside each header, and before the empty line. */
const CUTS = [4, 12, 15, 17, 25, 32, 60];

describe('service that stops in the middle of the head of its answer', () => {
  let fixture: CallerFixture;

  before(async () => {
    fixture = await CallerFixture.start();
  });

  after(() => fixture.close());

  CUTS.forEach((bytes) => {
    it(`after ${bytes} bytes is not passed on as a success`, async () => {
      await fixture.cluster.injectFault(SERVICE, { fault: 'cutHead', count: 9, bytes });
      const read = await fixture.send('GET', '/services/standings/read');
      assert.ok(read.status >= 500, `${read.status} ${read.text}`);
      const headers = { 'idempotency-key': `key-${bytes}` };
      const write = await fixture.send('POST', '/services/standings/write', {
        headers,
        body: '{}',
      });
      assert.ok(write.status >= 500, `${write.status} ${write.text}`);
      await fixture.cluster.injectFault(SERVICE, { fault: 'clear' });
    });
  });
});
