import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { sendRequest } from './support/caller.js';
import { createRoute, RelayFixture } from './support/relayFixture.js';
import { formatAnswer } from './support/scriptedUpstream.js';

describe('records of upstreams that cannot be called', () => {
  let fixture: RelayFixture;

  afterEach(async () => {
    await fixture.close();
  });

  const odd = [
    { id: 'id-beyond-latin-\u4e00', overrides: {} },
    { id: 'port-out-of-range', overrides: { port: 99_999 } },
    { id: 'no-address', overrides: { host: '999.1.1.1' } },
  ];
  odd.forEach(({ id, overrides }) => {
    it(`leave the requests to other upstreams (${id})`, async () => {
      const kinds = ['idempotent', 'non_idempotent'] as const;
      fixture = await RelayFixture.open(
        kinds.map((kind) => createRoute({ name: kind, kind, pathPrefix: `/${kind}/` })),
      );
      await fixture.addUpstream(id, () => {}, overrides);
      await fixture.addUpstream('sound', (socket, request) =>
        socket.end(formatAnswer(request, 200, 'ok')),
      );
      await fixture.waitReady();
      const statuses = new Set<number>();
      for (let sent = 0; sent < 24; sent += 1) {
        const path = `/${kinds[sent % 2]}/item`;
        statuses.add((await sendRequest(fixture.callerPort, { path })).status);
      }
      assert.deepEqual([...statuses], [200]);
      assert.ok(!fixture.lines.join('').includes('"event":"fault"'));
    });
  });
});
