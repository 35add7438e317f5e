import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { CrashDetector, Upstream } from '@cactusstair/relay';
import { ManualClock } from '@cactusstair/utils';

/** Returns a port on which nothing listens. */
async function findClosedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

describe('CrashDetector', () => {
  async function createSubject() {
    const clock = new ManualClock();
    const record = {
      id: 'a',
      service: 'app',
      host: '127.0.0.1',
      port: await findClosedPort(),
      zone: 'zone-1',
      version: 'v1',
      slots: 8,
      isDraining: false,
      warmupLeftMs: 0,
      startedAtMs: 0,
    };
    const upstream = new Upstream(record, clock);
    return { clock, upstream, detector: new CrashDetector(clock, () => {}) };
  }

  // A silent stream is left at once only if its upstream has crashed.
  it('takes a refused connection for a crash until the upstream sends something', async () => {
    const { clock, upstream, detector } = await createSubject();
    assert.equal(detector.hasCrashed(upstream), false);
    await clock.advance(100);
    await detector.check(upstream);
    assert.equal(detector.hasCrashed(upstream), true);
    await clock.advance(100);
    upstream.recordProgress();
    assert.equal(detector.hasCrashed(upstream), false);
  });
});
