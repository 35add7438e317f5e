// A new version of a service is brought in; half of its responses break off before they are complete.
// TROUBLE=0: the new version is good.
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
const FAILING_SHARE = 0.5;
const MACHINES = 2;
const SERVERS = 4;
const SLOTS = 6;
const WORK_MS = 60;
const DURATION_S = 24;
const REQUESTS_PER_S = 40;
const CANARY_SHARE = 0.15;
const CANARY_SLACK = 30;
const ROLLBACK_MS = 5000;
const BAD_ANSWERS = 50;
const BODY = 'x'.repeat(800);
const OLD = '1';
const NEW = '2';

const record = new Record(join(import.meta.dirname, 'record.txt'));
const deployment = new Deployment(record);
const arrivals = [];
const badTimes = [];

async function answer(server, incoming, outgoing) {
  const id = incoming.headers['x-attempt-id'];
  const number = server.runs.push(id);
  arrivals.push({ id, version: server.version, atMs: performance.now() });
  await sleep(WORK_MS);
  if (outgoing.destroyed) return;
  const fails =
    HAS_TROUBLE && server.version === NEW && number % Math.round(1 / FAILING_SHARE) === 0;
  record.write(
    `server ${server.id} (version ${server.version}) ran ${id}${fails ? ', its response breaks off' : ''}`,
  );
  if (!fails) {
    server.reply(incoming, outgoing, 200, BODY);
    return;
  }
  badTimes.push(performance.now());
  outgoing.writeHead(200, {
    'X-Attempt-Id': id,
    'X-Response-Seal': `seal.${server.id}`,
    'Content-Length': BODY.length,
  });
  outgoing.write(BODY.slice(0, BODY.length / 2), () => outgoing.destroy());
}

async function startServers(version) {
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(deployment, {
      id: `i-v${version}-${index}`,
      service: 'app',
      version,
      slots: SLOTS,
      answer,
    });
    await server.open();
    server.register();
  }
}

async function main() {
  const { store, machines, servers } = deployment;
  await deployment.open({ machines: MACHINES });
  store.put('config', 'main', {
    version: 7,
    routes: [
      {
        name: 'results',
        host: 'calls.example',
        path_prefix: '/results/',
        kind: 'unsafe',
        service: 'app',
        timeout_ms: 2000,
        latency_goal_ms: 386,
        priority: 2,
        max_attempts: 1,
      },
    ],
    services: [{ name: 'app', max_conns: 100, health_path: '/health' }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: ['n2ctnfzs989anu6wsjnb'] }],
  });
  await startServers(OLD);
  await deployment.start();
  await sleep(1500);

  const sentAtMs = new Map();
  const statuses = { before: {}, during: {} };
  let phase = 'before';
  let isOver = false;
  let count = 0;
  const pending = [];
  const traffic = (async () => {
    while (!isOver) {
      count += 1;
      const id = `r${count.toString(16).padStart(6, '0')}`;
      const counts = statuses[phase];
      sentAtMs.set(id, performance.now());
      pending.push(
        send({
          port: machines[count % MACHINES].ports[0],
          path: '/results/entry',
          id,
          body: `result ${count}`,
          deadlineMs: 4000,
        }).then(({ status, isWhole }) => {
          const key = status === 200 && !isWhole ? 'cut' : status;
          counts[key] = (counts[key] ?? 0) + 1;
        }),
      );
      await sleep(1000 / REQUESTS_PER_S);
    }
  })();
  await sleep(5000);

  await startServers(NEW);
  store.put('rollouts', 'app', { service: 'app', target: NEW, duration_s: DURATION_S });
  const orderedMs = performance.now();
  record.write('the order to move app to version 2');
  phase = 'during';
  let state;
  while (performance.now() - orderedMs < DURATION_S * 1000) {
    const current = store.find('rollouts', 'app').status?.state;
    if (current !== state) {
      state = current;
      record.write(`rollout ${state} after ${Math.round(performance.now() - orderedMs)} ms`);
      // On completed the old servers stop at once, without draining.
      if (state === 'completed') {
        for (const server of servers.filter(({ version }) => version === OLD)) {
          server.close();
          store.remove('servers', server.id);
        }
      }
    }
    await sleep(20);
  }
  const deadlineMs = performance.now();
  isOver = true;
  await traffic;
  await Promise.all(pending);

  const during = arrivals.filter(({ atMs }) => atMs >= orderedMs && atMs < deadlineMs);
  const toNew = during.filter(({ version }) => version === NEW);
  const allowed = CANARY_SHARE * during.length + CANARY_SLACK;
  const lateMs = (badTimes[BAD_ANSWERS - 1] ?? Infinity) + ROLLBACK_MS;
  const late = toNew.filter(({ id }) => sentAtMs.get(id) > lateMs).length;
  record.say(`rollout state at the deadline: ${state}`);
  record.say(
    `answers before the order ${JSON.stringify(statuses.before)}, after it ${JSON.stringify(statuses.during)}`,
  );
  record.say(
    `EXPOSURE: version 2 got ${toNew.length} of ${during.length} requests, allowed are ${allowed.toFixed(0)}; ${late} were sent later than ${ROLLBACK_MS} ms after its 50th bad answer; ${badTimes.length} bad answers`,
  );
  if (!HAS_TROUBLE) return state === 'completed' ? HELD : NOT_RUN;
  return toNew.length > allowed || late > 0 ? BROKEN : HELD;
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
