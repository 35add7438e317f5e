import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';

import { CallerFixture } from './callerFixture.js';

const SERVICE = 'riga-a-standings-1';

/** What a faulty service writes in place of an answer. */
const ANSWERS = {
  'a body without end': { text: 'HTTP/1.1 200 OK\r\n\r\n', isEndless: true },
  'a body that declares more than the limit': {
    text: 'HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n',
    isEndless: true,
  },
  'a head without end': { text: 'HTTP/1.1 200 OK\r\nX-Long: ', isEndless: true },
  'a status of two digits': { text: 'HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n' },
  'a status above 599': { text: 'HTTP/1.1 900 OK\r\nContent-Length: 0\r\n\r\n' },
};

describe('service that writes what cannot be passed on', () => {
  let fixture: CallerFixture;

  before(async () => {
    fixture = await CallerFixture.start();
  });

  after(() => fixture.close());

  Object.entries(ANSWERS).forEach(([name, answer], index) => {
    it(`${name} is a failure for calls that may be repeated and for others`, async () => {
      await fixture.cluster.injectFault(SERVICE, { fault: 'rawAnswer', count: 9, ...answer });
      const read = await fixture.send('GET', '/services/standings/read');
      assert.ok(read.status >= 500 && read.status <= 599, `${read.status} ${read.text}`);
      assert.notEqual(read.headers['x-cactusstair-code'], undefined);
      const headers = { 'idempotency-key': `key-${index}` };
      const write = await fixture.send('POST', '/services/standings/write', {
        headers,
        body: '{}',
      });
      assert.ok(write.status >= 500 && write.status <= 599, `${write.status} ${write.text}`);
      await fixture.cluster.injectFault(SERVICE, { fault: 'clear' });
      const sound = await fixture.send('GET', '/services/standings/read');
      assert.equal(sound.status, 200);
    });
  });
});
