import {
  createAttemptId,
  createConfig,
  HOST,
  KEY,
  runCase,
  sendAttempt,
  sleep,
} from '../common/deployment.mjs';
import { answerAfter, ServerStandin } from '../common/serverStandin.mjs';

const SERVICE = 'kapnes-app';
const ZONES = ['riga-a'];
const WORK_MS = 86;
const RATE_PER_S = 12.6;
const DRAIN_MS = 2000;
/** All waiting watches are cut off at these times before and after a server leaves. */
const CUTS_AT_MS = [-500, 1000, 2500, 4000];
/** Servers leave at these times of traffic, and serve on for `SERVE_ON_MS` before they exit. */
const LEAVES_AT_MS = [6000, 18_000, 30_000];
const SERVE_ON_MS = 5000;
const TRAFFIC_MS = 45_000;

const ROUTE = {
  name: 'r-record',
  path_prefix: '/puxa403/',
  kind: 'unsafe',
  timeout_ms: 2000,
  latency_goal_ms: 300,
  service: SERVICE,
};

async function playRequest(deployment, instance) {
  const attempt = createAttemptId();
  const sent = deployment.record('sent', { attempt, to: instance.name });
  const answer = await sendAttempt({
    host: instance.ip,
    port: instance.front,
    path: '/puxa403/2f',
    headers: { host: HOST, 'x-attempt-id': attempt, 'x-deadline-ms': '4000', 'api-key': KEY },
    body: `result ${attempt}`,
    timeoutMs: 4300,
  });
  deployment.record('answered', { attempt, sentMs: sent.atMs, status: answer.status });
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const store = await deployment.startStore();
  store.put('config', 'main', createConfig(7, [ROUTE], [SERVICE]));
  let nextServer = 0;
  const addServer = async () => {
    nextServer += 1;
    const server = new ServerStandin({
      host: '127.0.0.1',
      id: `i-7f3a91c${nextServer}`,
      slots: 6,
      record: deployment.record,
      run: (call) => answerAfter(call, WORK_MS),
    });
    await deployment.addServer(server, { service: SERVICE, zone: ZONES[0] });
    return server;
  };
  const servers = [await addServer(), await addServer(), await addServer()];
  const goneAtMs = new Map();
  store.onEvents = (kind, events) => {
    for (const { object, is_deleted: isDeleted } of events) {
      const { name } = object.metadata;
      if (kind !== 'servers' || !isDeleted || goneAtMs.has(name)) continue;
      goneAtMs.set(
        name,
        deployment.record('instance is told that it is gone', { server: name }).atMs,
      );
    }
  };
  await deployment.startInstances(ZONES);
  await sleep(4000);
  const trafficMs = Date.now();
  const [instance] = deployment.instances;
  const play = async () => {
    const requests = [];
    for (let index = 0; index < (TRAFFIC_MS / 1000) * RATE_PER_S; index += 1) {
      await sleep(trafficMs + (index / RATE_PER_S) * 1000 - Date.now());
      requests.push(playRequest(deployment, instance));
    }
    await Promise.all(requests);
  };
  const leave = async (atMs) => {
    await sleep(atMs);
    await addServer();
    const server = servers.shift();
    const { id } = server.options;
    store.remove('servers', id);
    deployment.record('server leaves', { server: id });
    await sleep(SERVE_ON_MS);
    deployment.record('server exits', { server: id, running: server.running });
    server.close();
  };
  const cut = async (atMs) => {
    await sleep(atMs);
    if (!hasTrouble) return;
    deployment.record('watches are cut off', { count: store.watching.size });
    store.cutWatches();
  };
  const cutTimes = LEAVES_AT_MS.flatMap((leaveMs) => CUTS_AT_MS.map((cutMs) => leaveMs + cutMs));
  await Promise.all([play(), ...LEAVES_AT_MS.map(leave), ...cutTimes.map(cut)]);
  const sentAtMs = new Map(
    deployment.events
      .filter(({ event }) => event === 'sent')
      .map(({ attempt, atMs }) => [attempt, atMs]),
  );
  const late = deployment.events.filter(
    ({ event, attempt, server }) =>
      event === 'run' && sentAtMs.get(attempt) > goneAtMs.get(server) + DRAIN_MS,
  );
  for (const { attempt, server, atMs } of late) {
    const afterMs = atMs - goneAtMs.get(server);
    deployment.record('DRAIN broken', { attempt, server, afterMs });
  }
  deployment.record('summary', { goneAtMs: Object.fromEntries(goneAtMs), late: late.length });
  if (late.length === 0) return undefined;
  const mostMs = Math.max(...late.map(({ atMs, server }) => atMs - goneAtMs.get(server)));
  return (
    `DRAIN: ${late.length} requests that clients sent more than ${DRAIN_MS} ms after the instance ` +
    `had been told that a server is gone ran there, the last one ${mostMs} ms after it`
  );
});
