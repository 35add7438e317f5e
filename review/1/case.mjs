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
const PATH = '/puxa403/2f';
const WORK_MS = 86;
/** Requests a second that each server in need takes from all machines together. */
const LIMIT_PER_S = 5;
const LIMIT_FROM_MS = 4000;
const LIMIT_FOR_MS = 50_000;
const TRAFFIC_MS = 58_000;
/** Requests a second of `result-record` on the sheet of kalnins-kapnes. */
const RATE_PER_S = 12.6;
/** Deadline of `result-record` at kalnins-kapnes-large. */
const DEADLINE_MS = 1542;
const MAX_RETRIES = 4;

const ROUTE = {
  name: 'r-record',
  path_prefix: '/puxa403/',
  kind: 'unsafe',
  timeout_ms: 2000,
  latency_goal_ms: 300,
  service: SERVICE,
};

/** One client's request: a few attempts, each after the pause that a refusal asks for. */
async function playRequest(deployment, instance) {
  const dueMs = Date.now() + DEADLINE_MS;
  for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
    const leftMs = Math.floor(dueMs - Date.now());
    if (leftMs < 20) return;
    const attempt = createAttemptId();
    deployment.record('sent', { attempt, retry, deadlineMs: leftMs, to: instance.name });
    const answer = await sendAttempt({
      host: instance.ip,
      port: instance.front,
      path: PATH,
      headers: {
        host: HOST,
        'x-attempt-id': attempt,
        'x-deadline-ms': String(leftMs),
        'api-key': KEY,
        'content-type': 'application/octet-stream',
      },
      body: `result ${attempt}`,
      timeoutMs: leftMs + 300,
    });
    const { status, end } = answer;
    deployment.record('answered', {
      attempt,
      status,
      end,
      retryAfter: answer.headers['retry-after'],
    });
    if (status !== 503 && status !== 429) return;
    const pauseMs = Number(answer.headers['retry-after'] ?? 0) * 1000;
    await sleep(Math.min(pauseMs, (dueMs - Date.now()) / 3));
  }
}

/** Unsafe requests that were refused with 503 or 429 and have run, before or after it. */
function findRefusedRuns(events) {
  const ran = new Map(
    events.filter(({ event }) => event === 'run').map((line) => [line.attempt, line]),
  );
  return events
    .filter(({ event, status }) => event === 'answered' && (status === 503 || status === 429))
    .filter(({ attempt }) => ran.has(attempt))
    .map((answered) => ({ answered, run: ran.get(answered.attempt) }));
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
  const store = await deployment.startStore();
  const zones = ['riga-a', 'riga-b'];
  const startMs = Date.now();
  let trafficMs = Infinity;
  const isInNeed = () => {
    const atMs = Date.now() - trafficMs;
    return hasTrouble && atMs >= LIMIT_FROM_MS && atMs < LIMIT_FROM_MS + LIMIT_FOR_MS;
  };
  store.put('config', 'main', createConfig(7, [ROUTE], [SERVICE]));
  for (const [index, zone] of zones.entries()) {
    const server = new ServerStandin({
      host: '127.0.0.1',
      id: `i-7f3a91c${index}`,
      slots: 6,
      record: deployment.record,
      run: (call) => {
        answerAfter(call, WORK_MS, isInNeed() ? { 'server-limit': String(LIMIT_PER_S) } : {});
      },
    });
    await deployment.addServer(server, { service: SERVICE, zone });
  }
  await deployment.startInstances(zones);
  await sleep(3000);
  trafficMs = Date.now();
  deployment.record('traffic starts', { afterMs: trafficMs - startMs });
  const requests = [];
  for (let index = 0; index < (TRAFFIC_MS / 1000) * RATE_PER_S; index += 1) {
    await sleep(trafficMs + (index / RATE_PER_S) * 1000 - Date.now());
    requests.push(playRequest(deployment, deployment.instances[index % 2]));
  }
  await Promise.all(requests);
  await sleep(1500);
  const { events } = deployment;
  const count = (name) => events.filter(({ event }) => event === name).length;
  const refused = events.filter(({ event, status }) => event === 'answered' && status === 503);
  deployment.record('summary', {
    sent: count('sent'),
    run: count('run'),
    refused: refused.length,
  });
  const broken = findRefusedRuns(events);
  for (const found of broken) deployment.record('REFUSED broken', found);
  if (broken.length === 0) return undefined;
  const [{ answered, run }] = broken;
  return (
    `REFUSED: ${broken.length} unsafe requests were answered 503 and ran; the first, ` +
    `${answered.attempt}, was refused at ${answered.atMs} ms and runs at ${run.atMs} ms`
  );
});
