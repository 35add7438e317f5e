// The three servers of one zone, of four, crash while the first requests with a new prompt part are being
// read. The part is sound: no server crashes on it. TROUBLE=0: no server crashes.
import { join } from 'node:path';

import {
  BROKEN,
  Deployment,
  HELD,
  NOT_RUN,
  Record,
  send,
  Server,
  sleep,
} from '../support-2/deployment.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['riga-a', 'riga-b', 'jelgava', 'valmiera'];
const MACHINES = 4;
const SERVERS = 12;
const DOWN_MS = 4500;
const SLOTS = 128;
/** Time in which a server reads the long prompts of the new part, before the first event. */
const READ_MS = 1500;
const COMMON_READ_MS = 40;
const NEW_PART = 'e4402b7d';
/** A third of the site's requests are about the new document (`hot_key`). */
const FIRST_REQUESTS = 33;
const FIRST_PAUSE_MS = 33;
const FOLLOW_S = 20;
const PAUSE_MS = 250;

const record = new Record(join(import.meta.dirname, 'record.txt'));
const deployment = new Deployment(record);

async function answerStream(server, incoming, outgoing) {
  const id = incoming.headers['x-attempt-id'];
  const hasNewPart = incoming.headers['x-prompt-prefix'].includes(NEW_PART);
  server.runs.push(id);
  if (hasNewPart) record.write(`server ${server.id} runs ${id}`);
  if (hasNewPart) server.reading += 1;
  await sleep(hasNewPart ? READ_MS : COMMON_READ_MS);
  if (hasNewPart) server.reading -= 1;
  if (outgoing.destroyed) return;
  outgoing.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Attempt-Id': id,
    'X-Response-Seal': `seal.${server.id}`,
    'X-Weight-Versions': '1',
  });
  for (let index = 1; index <= 4 && !outgoing.destroyed; index += 1) {
    outgoing.write(`id: ${index}\ndata: text\n\n`);
    await sleep(20);
  }
  outgoing.end();
}

let count = 0;
const results = [];

async function request(kind, middle) {
  const machine = deployment.machines[count % MACHINES];
  count += 1;
  const number = count.toString(16).padStart(4, '0');
  const sentMs = performance.now();
  const answer = await send({
    port: machine.ports[0],
    path: '/reviews/draft',
    id: `${kind}-${number}`,
    headers: {
      'X-Model': 'm0',
      'X-Token-Counts': '1460,20',
      'X-Prompt-Prefix': `5c1e07a2:512,${middle}:800,${`91bd${number}`}:148`,
    },
    body: `draft ${number}`,
    deadlineMs: 25_000,
  });
  const code = answer.headers['x-cactusstair-code'] ?? '';
  results.push({ kind, status: answer.status, sentMs, isWhole: answer.isWhole });
  if (kind !== 'common') {
    record.write(
      `${kind}-${number} at ${machine.name}: ${answer.status} ${code} whole ${answer.isWhole === true} ${answer.status >= 400 ? answer.body.slice(0, 120) : ''}`,
    );
  }
}

async function main() {
  const { store } = deployment;
  await deployment.open({ machines: MACHINES, zones: ZONES });
  store.put('config', 'main', {
    version: 7,
    routes: [
      {
        name: 'reviews',
        host: 'calls.example',
        path_prefix: '/reviews/',
        kind: 'streaming',
        service: 'model',
        timeout_ms: 25_000,
        latency_goal_ms: 3000,
        priority: 1,
        max_attempts: 3,
        resumable: true,
        itl_target_ms: 1000,
        session_affinity: true,
      },
    ],
    services: [
      {
        name: 'model',
        max_conns: 620,
        health_path: '/health',
        engine: {
          slots: SLOTS,
          kv_tokens: 854_248,
          stride: 5,
          models: [{ name: 'm0', cost: 0.014 }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: ['n2ctnfzs989anu6wsjnb'] }],
  });
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(deployment, {
      id: `i-${index}`,
      service: 'model',
      slots: SLOTS,
      zone: ZONES[index % ZONES.length],
      answer: answerStream,
    });
    server.reading = 0;
    await server.open();
    server.register();
  }
  await deployment.start();
  await sleep(1500);

  // Ordinary traffic with other parts, all the time.
  let isOver = false;
  const ordinary = (async () => {
    for (let index = 0; !isOver; index += 1) {
      request('common', `aa${(index % 40).toString(16).padStart(6, '0')}`);
      await sleep(15);
    }
  })();
  await sleep(6000);

  record.write('the first requests with the new part');
  const first = [];
  for (let index = 0; index < FIRST_REQUESTS; index += 1) {
    first.push(request('first', NEW_PART));
    await sleep(FIRST_PAUSE_MS);
  }
  if (HAS_TROUBLE) {
    // Which zone it is, is luck; here it is one all of whose servers run a request with the part.
    const listServers = (name) => deployment.servers.filter(({ zone }) => zone === name);
    const runsPart = (name) => listServers(name).every(({ reading }) => reading > 0);
    const crashed = listServers(ZONES.find(runsPart) ?? ZONES[0]);
    for (const server of crashed) server.crash();
    record.write(
      `crash of ${crashed.map(({ id, reading }) => `${id} (${reading} with the part)`)}`,
    );
    setTimeout(() => crashed.forEach((server) => server.restart()), DOWN_MS);
  }
  await Promise.all(first);
  const followUntilMs = performance.now() + FOLLOW_S * 1000;
  const following = [];
  while (performance.now() < followUntilMs) {
    following.push(request('later', NEW_PART));
    await sleep(PAUSE_MS);
  }
  await Promise.all(following);
  isOver = true;
  await ordinary;
  await sleep(1000);

  const count4xx = (kind) =>
    results.filter(
      (row) =>
        row.kind === kind &&
        row.status >= 300 &&
        row.status < 500 &&
        ![408, 421, 429].includes(row.status),
    ).length;
  const total = results.length;
  const denied = ['common', 'first', 'later'].reduce((sum, kind) => sum + count4xx(kind), 0);
  for (const kind of ['common', 'first', 'later']) {
    const rows = results.filter((row) => row.kind === kind);
    const served = rows.filter(({ status, isWhole }) => status === 200 && isWhole).length;
    const byStatus = {};
    for (const { status } of rows) byStatus[status] = (byStatus[status] ?? 0) + 1;
    record.say(
      `${kind}: ${rows.length} sent, ${served} served, by status ${JSON.stringify(byStatus)}`,
    );
  }
  const allowed = 5 + total / 500;
  record.say(
    `DENIED: ${denied} of ${total} requests ended with a 4xx of the system, allowed are ${allowed.toFixed(1)}`,
  );
  return denied > allowed ? BROKEN : HELD;
}

let code = NOT_RUN;
try {
  code = await main();
  record.say(code === BROKEN ? 'BROKEN' : 'held');
} catch (error) {
  record.say(`could not run: ${error.stack}`);
} finally {
  await deployment.close();
}
process.exit(code);
