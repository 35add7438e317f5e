import assert from 'node:assert/strict';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ConnectionGuard } from '@cactusstair/utils';
import {
  chooseConnectionToClose,
  createRandom,
  guardConnections,
  ignoreBody,
  RateMeter,
  TurnQueue,
  waitFor,
} from '@cactusstair/utils';

const SEED = 20261206;

function readAll(incoming: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => resolve(Buffer.concat(chunks).toString('latin1')));
    incoming.on('error', reject);
  });
}

const formatGet = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

describe('guardConnections', () => {
  const sockets: Socket[] = [];
  let server: Server;
  let guard: ConnectionGuard;

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  });

  async function listen(
    handle: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
    maxConnections = 100,
  ): Promise<void> {
    server = createServer(handle);
    guard = guardConnections(server, { maxConnections });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  }

  function open(): Socket {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => {});
    sockets.push(socket);
    return socket;
  }

  function collect(socket: Socket): { text: string; isClosed: boolean } {
    const received = { text: '', isClosed: false };
    socket.on('data', (chunk) => {
      received.text += chunk.toString('latin1');
    });
    socket.on('close', () => {
      received.isClosed = true;
    });
    return received;
  }

  // 500 requests in one read were all parsed before the first response had been written.
  it('parses the next pipelined request when the response before it is written', async () => {
    let openResponses = 0;
    let mostOpen = 0;
    await listen((incoming, outgoing) => {
      openResponses += 1;
      mostOpen = Math.max(mostOpen, openResponses);
      outgoing.once('close', () => {
        openResponses -= 1;
      });
      setImmediate(() => outgoing.end(incoming.url));
    });
    const socket = open();
    const received = collect(socket);
    const paths = Array.from({ length: 200 }, (_, index) => `/n${index}.`);
    socket.write(paths.map(formatGet).join(''));
    await waitFor(() => received.text.includes('/n199.'), { what: 'all', timeoutMs: 10_000 });
    assert.equal(mostOpen, 1);
    const bodies = [...received.text.matchAll(/\/n\d+\./g)].map(([path]) => path);
    assert.deepEqual(bodies, paths);
  });

  // Slices must not change what is parsed, wherever the bytes of a caller are cut.
  it('serves requests of all framings, however their bytes are cut', async () => {
    const random = createRandom(SEED);
    const pick = (max: number) => Math.floor(random.next() * max);
    const data = ['x', '\r\n', '0', '\r\n0\r\n', '\r\n\r\n', '0\r\n\r\n', 'yyyyyyyyyyyyyyyyyyyy'];
    const createBody = () =>
      Array.from({ length: pick(60) }, () => data[pick(data.length)]).join('');
    const formatChunks = (body: string, trailers: string) => {
      let text = '';
      for (let at = 0; at < body.length;) {
        const part = body.slice(at, at + 1 + pick(30));
        text += `${part.length.toString(16)}\r\n${part}\r\n`;
        at += part.length;
      }
      return `${text}0\r\n${trailers}\r\n`;
    };
    let openResponses = 0;
    let mostOpen = 0;
    const bodies: string[] = [];
    await listen((incoming, outgoing) => {
      openResponses += 1;
      mostOpen = Math.max(mostOpen, openResponses);
      outgoing.once('close', () => {
        openResponses -= 1;
      });
      void readAll(incoming).then((body) => {
        bodies.push(body);
        outgoing.end('ok');
      });
    });
    const sent: string[] = [];
    let text = '';
    for (let index = 0; index < 300; index += 1) {
      const body = createBody();
      const head = 'POST / HTTP/1.1\r\nHost: a\r\n';
      sent.push(body);
      if (pick(2) === 0) text += `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
      else {
        const trailers = pick(2) === 0 ? '' : 'Sum: 1\r\n';
        text += `${head}Transfer-Encoding: chunked\r\n\r\n${formatChunks(body, trailers)}`;
      }
    }
    const socket = open();
    socket.setNoDelay(true);
    socket.resume();
    for (let at = 0; at < text.length;) {
      const part = text.slice(at, at + 1 + pick(pick(10) === 0 ? 3000 : 12));
      socket.write(part, 'latin1');
      at += part.length;
      if (pick(20) === 0) await sleep(0);
    }
    await waitFor(() => bodies.length === sent.length, { what: 'all bodies', timeoutMs: 20_000 });
    assert.deepEqual(bodies, sent);
    // A mark that is cut in two may let one further request through.
    assert.ok(mostOpen <= 2, `${mostOpen} open`);
  });

  it('delivers a refusal to a caller that still sends, and then closes its connection', async () => {
    await listen((incoming, outgoing) => {
      ignoreBody(incoming, outgoing);
      outgoing.writeHead(413);
      outgoing.end();
    });
    const socket = open();
    const received = collect(socket);
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000000000\r\n\r\n');
    const block = Buffer.alloc(65_536);
    const send = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('drain', send);
    send();
    await waitFor(() => received.isClosed, { what: 'the end', timeoutMs: 10_000 });
    assert.match(received.text, /^HTTP\/1\.1 413 /);
    assert.ok(socket.bytesWritten < 64 * 1024 * 1024, `${socket.bytesWritten} bytes`);
  });

  it('closes idle connections for new ones, and not one that is being served', async () => {
    let answer: (() => void) | undefined;
    await listen((incoming, outgoing) => {
      incoming.resume();
      if (incoming.url === '/slow') answer = () => outgoing.end('late');
      else outgoing.end('ok');
    }, 10);
    const served = open();
    const received = collect(served);
    served.write(formatGet('/slow'));
    await waitFor(() => answer, { what: 'the request', timeoutMs: 5000 });
    for (let index = 0; index < 30; index += 1) open().write('GET / HTTP/1.1\r\n');
    await waitFor(() => guard.closedCount >= 21, { what: 'closed ones', timeoutMs: 5000 });
    assert.ok(guard.connections.size <= 10);
    const other = open();
    const otherReceived = collect(other);
    other.write(formatGet('/'));
    await waitFor(() => otherReceived.text.includes('ok'), { what: 'a reply', timeoutMs: 5000 });
    answer?.();
    await waitFor(() => received.text.includes('late'), { what: 'the reply', timeoutMs: 5000 });
  });

  it('answers a request with an unknown Expect header', async () => {
    await listen((_incoming, outgoing) => outgoing.end());
    const socket = open();
    const received = collect(socket);
    socket.write('GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n');
    await waitFor(() => received.text.startsWith('HTTP/1.1 417'), { what: '417', timeoutMs: 5000 });
  });
});

describe('chooseConnectionToClose', () => {
  const create = (
    name: string,
    bytesPerSecond: number,
    progressAtMs: number,
    flags: { isServing?: boolean; isLingering?: boolean } = {},
  ) => ({ name, bytesPerSecond, progressAtMs, isServing: false, isLingering: false, ...flags });

  it('takes a refused one, then the longest idle, then the slowest; never one that is served', () => {
    const left = [
      create('served', 0, 0, { isServing: true }),
      create('fast upload', 500_000, 90),
      create('slow upload', 12_000, 95),
      create('trickling', 10, 99),
      create('idle', 0, 50),
      create('longer idle', 0, 20),
      create('refused', 80_000, 99, { isLingering: true }),
    ];
    const order: string[] = [];
    for (;;) {
      const closed = chooseConnectionToClose(left);
      if (!closed) break;
      order.push(closed.name);
      left.splice(left.indexOf(closed), 1);
    }
    assert.deepEqual(order, [
      'refused',
      'longer idle',
      'idle',
      'trickling',
      'slow upload',
      'fast upload',
    ]);
    assert.deepEqual(
      left.map(({ name }) => name),
      ['served'],
    );
  });
});

describe('RateMeter', () => {
  it('measures the last one to two seconds', () => {
    const meter = new RateMeter(0);
    for (let atMs = 0; atMs < 5000; atMs += 100) meter.record(1000, atMs);
    const rate = meter.getBytesPerSecond(5000);
    assert.ok(rate > 9000 && rate < 11_000, String(rate));
    assert.equal(meter.getBytesPerSecond(7100), 0);
  });
});

describe('TurnQueue', () => {
  // The bytes of one connection were parsed to their end before others were served.
  it('gives each connection one step in turn, and lets other events run', async () => {
    const queue = new TurnQueue();
    const order: string[] = [];
    const add = (name: string, count: number) => {
      let left = count;
      queue.add(() => {
        const untilMs = performance.now() + 1;
        while (performance.now() < untilMs);
        order.push(name);
        left -= 1;
        return left > 0;
      });
    };
    add('costly', 30);
    add('cheap', 2);
    let isTimerDue = false;
    setTimeout(() => {
      isTimerDue = true;
      order.push('timer');
    }, 1);
    await waitFor(() => isTimerDue && order.length === 33, { what: 'all', timeoutMs: 5000 });
    const steps = order.filter((name) => name !== 'timer');
    assert.deepEqual(steps.slice(0, 4), ['costly', 'cheap', 'costly', 'cheap']);
    assert.ok(order.indexOf('timer') < 20, order.join(' '));
  });
});
