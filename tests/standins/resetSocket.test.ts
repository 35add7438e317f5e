import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';

import { resetSocket } from '@cactusstair/standins';

/** Unlike `once` of Node.js, does not reject when the connection ends with an error. */
function waitForClose(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once('close', () => resolve());
  });
}

describe('resetSocket', () => {
  /** Lets a server write `text` and reset the connection; returns how the connection closed. */
  async function resetAfter(write: (socket: Socket) => void): Promise<string[]> {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const events: string[] = [];
    caller.on('error', () => events.push('caller reset'));
    const [socket] = (await once(server, 'connection')) as [Socket];
    socket.on('error', (error) => events.push(error.message));
    const closed = waitForClose(socket);
    write(socket);
    resetSocket(socket);
    caller.resume();
    await Promise.all([closed, waitForClose(caller)]);
    server.close();
    return events;
  }

  it('resets an open connection', async () => {
    assert.deepEqual(await resetAfter(() => {}), ['caller reset']);
  });

  // The connection stayed open, and the process of a test that had passed never exited.
  it('closes a connection whose end is being sent', async () => {
    assert.deepEqual(await resetAfter((socket) => socket.end('x')), []);
  });
});
