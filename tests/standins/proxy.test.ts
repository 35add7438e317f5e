import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ProxyStandin } from '@cactusstair/standins';
import { waitFor } from '@cactusstair/utils';

interface Client {
  socket: Socket;
  received: string;
  isClosed: boolean;
}

describe('ProxyStandin', () => {
  let echo: Server;
  let proxy: ProxyStandin;
  let echoed: string;
  const clients: Client[] = [];

  beforeEach(async () => {
    echoed = '';
    echo = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        echoed += bytes.toString();
        socket.write(bytes);
      });
    });
    echo.listen(0, '127.0.0.1');
    await once(echo, 'listening');
    const { port } = echo.address() as AddressInfo;
    proxy = await new ProxyStandin({ target: `127.0.0.1:${port}` }).start();
  });

  afterEach(async () => {
    await proxy.close();
    for (const client of clients.splice(0)) client.socket.destroy();
    await new Promise((resolve) => {
      echo.close(resolve);
    });
  });

  async function connect(): Promise<Client> {
    const [host, port] = proxy.address.split(':');
    const socket = createConnection({ host, port: Number(port) });
    const client: Client = { socket, received: '', isClosed: false };
    clients.push(client);
    socket.on('data', (bytes) => {
      client.received += bytes.toString();
    });
    socket.on('close', () => {
      client.isClosed = true;
    });
    await once(socket, 'connect');
    socket.on('error', () => {});
    return client;
  }

  const waitForText = (client: Client, text: string) =>
    waitFor(() => client.received === text, { what: `the echo "${text}"`, timeoutMs: 10_000 });

  async function echoText(client: Client, text: string): Promise<void> {
    const before = client.received;
    client.socket.write(text);
    await waitForText(client, before + text);
  }

  it('blackholes existing connections only, and new ones work', async () => {
    const old = await connect();
    await echoText(old, 'a');
    proxy.faults.inject({ fault: 'blackhole', scope: 'existing' });
    old.socket.write('b');
    const fresh = await connect();
    // A full round trip on the new connection gives the old one time to leak a byte.
    await echoText(fresh, 'c');
    assert.deepEqual([old.received, old.isClosed], ['a', false]);
  });

  it('blackholes one direction: bytes reach the target, its answer is held back', async () => {
    const client = await connect();
    await echoText(client, 'a');
    proxy.faults.inject({ fault: 'blackhole', direction: 'toClient' });
    client.socket.write('b');
    await waitFor(() => echoed === 'ab', { what: 'the byte at the target', timeoutMs: 10_000 });
    assert.equal(client.received, 'a');
    proxy.faults.clear();
    await waitForText(client, 'ab');
  });

  it('resets open connections and refuses new ones until a cut is cleared', async () => {
    const client = await connect();
    await echoText(client, 'a');
    proxy.faults.inject({ fault: 'cut' });
    await waitFor(() => client.isClosed, { what: 'the reset', timeoutMs: 10_000 });
    await assert.rejects(connect(), /ECONNREFUSED/);
    proxy.faults.clear();
    const isBack = async () => (await connect().catch(() => undefined)) !== undefined;
    await waitFor(isBack, { what: 'the proxy listening again', timeoutMs: 10_000 });
  });

  it('forwards all bytes before a graceful close, even if they are delayed', async () => {
    proxy.faults.inject({ fault: 'delay', delayMs: 20, jitterMs: 5 });
    const client = await connect();
    const text = 'x'.repeat(1_000_000);
    client.socket.end(text);
    await waitForText(client, text);
    await waitFor(() => client.isClosed, { what: 'the end', timeoutMs: 10_000 });
  });

  it('resets a connection after a number of bytes', async () => {
    proxy.faults.inject({ fault: 'resetAfter', bytes: 10 });
    const client = await connect();
    await echoText(client, 'abcd');
    client.socket.write('abcd');
    await waitFor(() => client.isClosed, { what: 'the reset', timeoutMs: 10_000 });
    assert.equal(client.received, 'abcd');
  });
});
