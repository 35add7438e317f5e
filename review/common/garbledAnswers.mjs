/** Traffic of streams and plain calls while one of two servers of each service spoils answers. */
import { createAttemptId, createConfig, HOST, KEY, sendAttempt, sleep } from './deployment.mjs';
import { answerAfter, createHeaders, ServerStandin } from './serverStandin.mjs';

const MODEL_SERVICE = 'kapnes-model';
const APP_SERVICE = 'kapnes-app';
const EVENT_TYPE = 'text/event-stream';
const EVENTS = 20;
const EVENT_GAP_MS = 20;
const FIRST_EVENT_MS = 60;
const WORK_MS = 86;
/** A faulty server spoils one answer in 34; `garble` in the list of troubles has a share of 0.03. */
const SPOILT_EVERY = 34;
/** Starts of the times in which it does, and their length, in milliseconds of traffic. */
const FAULTS_FROM_MS = [3000, 9500, 16_000, 22_500];
const FAULT_FOR_MS = 5000;
const TRAFFIC_MS = 30_000;
/** Requests a second on the sheet: those of the three kinds of streams together, and the calls. */
const RATES_PER_S = { stream: 50.2, record: 12.6, standings: 5.04 };

export const ROUTES = {
  stream: {
    name: 'r-letter',
    path_prefix: '/lohu930/',
    kind: 'streaming',
    timeout_ms: 5000,
    latency_goal_ms: 1500,
    service: MODEL_SERVICE,
    max_attempts: 3,
    resumable: true,
    itl_target_ms: 1000,
  },
  record: {
    name: 'r-record',
    path_prefix: '/puxa403/',
    kind: 'unsafe',
    timeout_ms: 2000,
    latency_goal_ms: 300,
    service: APP_SERVICE,
  },
  standings: {
    name: 'r-standings',
    path_prefix: '/cufi504/',
    kind: 'safe',
    timeout_ms: 2000,
    latency_goal_ms: 300,
    service: APP_SERVICE,
    max_attempts: 2,
  },
};

const DEADLINES_MS = { stream: 5000, record: 4000, standings: 4000 };

/** Writes a whole answer in whose head the hyphen of `Content-Type` is a space. */
function writeSpoiltHead({ request, attempt, server }, type, body) {
  const headers = createHeaders(server.options.id, attempt, {
    'Content Type': type,
    'Content-Length': Buffer.byteLength(body),
  });
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  request.socket.end(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body}`);
}

function listPieces(attempt, first) {
  const pieces = [];
  for (let id = first; id <= EVENTS; id += 1) {
    pieces.push(`id: ${id}\ndata: ${attempt} piece ${id}\n\n`);
  }
  return pieces;
}

/** Streams the events after the one that the caller has. */
async function stream({ request, response, attempt, server }, changePiece = (piece) => piece) {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  await sleep(FIRST_EVENT_MS);
  response.writeHead(
    200,
    createHeaders(server.options.id, attempt, { 'content-type': EVENT_TYPE }),
  );
  for (const piece of listPieces(attempt, first)) {
    if (response.destroyed) return;
    response.write(changePiece(piece));
    await sleep(EVENT_GAP_MS);
  }
  response.end();
}

/** Spoils the heads of answers. */
export const spoiltHeads = {
  stream: (call) => {
    const pieces = listPieces(call.attempt, 1).join('');
    setTimeout(() => writeSpoiltHead(call, EVENT_TYPE, pieces), FIRST_EVENT_MS);
  },
  call: (call) => {
    setTimeout(() => writeSpoiltHead(call, 'application/json', '{}'), WORK_MS);
  },
};

/** Spoils one byte in the id of one event: the `1` of `id: 12` is a `3`. */
export const spoiltIds = {
  stream: (call) => {
    stream(call, (piece) => piece.replace('id: 12\n', 'id: 32\n')).catch(() => {});
  },
};

function runCall(service, call, spoil) {
  const isStream = service === MODEL_SERVICE;
  const runSpoilt = spoil?.[isStream ? 'stream' : 'call'];
  if (runSpoilt) runSpoilt(call);
  else if (isStream) stream(call).catch(() => {});
  else answerAfter(call, WORK_MS);
}

async function playRequest(deployment, instance, kind) {
  const attempt = createAttemptId();
  const deadlineMs = DEADLINES_MS[kind];
  const sent = deployment.record('sent', { attempt, kind, deadlineMs, to: instance.name });
  const answer = await sendAttempt({
    host: instance.ip,
    port: instance.front,
    method: kind === 'standings' ? 'GET' : 'POST',
    path: `${ROUTES[kind].path_prefix}2f`,
    headers: {
      host: HOST,
      'x-attempt-id': attempt,
      'x-deadline-ms': String(deadlineMs),
      'api-key': KEY,
    },
    body: kind === 'standings' ? undefined : `body ${attempt}`,
    timeoutMs: deadlineMs,
  });
  const line = deployment.record('answered', {
    attempt,
    kind,
    end: answer.end,
    status: answer.status,
    isWhole: answer.isWhole,
    seal: answer.headers['x-response-seal'],
    bytes: answer.body.length,
  });
  line.tookMs = line.atMs - sent.atMs;
  line.body = answer.body;
}

/**
 * Plays the traffic and returns what the clients got.
 *
 * @param spoil how a spoilt `stream` and a spoilt `call` are answered
 */
export async function playGarbledAnswers(deployment, hasTrouble, spoil) {
  const store = await deployment.startStore();
  const zones = ['riga-a', 'riga-b'];
  let trafficMs = Infinity;
  const takeSpoilt = (server) => {
    const atMs = Date.now() - trafficMs;
    const isNow = FAULTS_FROM_MS.some((from) => atMs >= from && atMs < from + FAULT_FOR_MS);
    if (!hasTrouble || !isNow || !server.options.isFaulty) return false;
    server.answered = (server.answered ?? 0) + 1;
    return server.answered % SPOILT_EVERY === 0;
  };
  const services = [MODEL_SERVICE, APP_SERVICE];
  store.put('config', 'main', createConfig(7, Object.values(ROUTES), services));
  for (const [index, zone] of zones.entries()) {
    for (const service of services) {
      const server = new ServerStandin({
        host: '127.0.0.1',
        id: `i-7f3a91${service.length}${index}`,
        slots: 128,
        isFaulty: index === 0,
        record: deployment.record,
        run: (call) => {
          const isSpoilt = takeSpoilt(server);
          if (isSpoilt) {
            deployment.record('spoilt', { attempt: call.attempt, server: server.options.id });
          }
          runCall(service, call, isSpoilt ? spoil : undefined);
        },
      });
      await deployment.addServer(server, { service, zone, slots: 128 });
    }
  }
  await deployment.startInstances(zones);
  await sleep(3000);
  trafficMs = Date.now();
  deployment.record('traffic starts');
  const requests = [];
  const play = async (kind, perSecond) => {
    for (let index = 0; index < (TRAFFIC_MS / 1000) * perSecond; index += 1) {
      await sleep(trafficMs + (index / perSecond) * 1000 - Date.now());
      requests.push(playRequest(deployment, deployment.instances[index % 2], kind));
    }
  };
  await Promise.all(Object.entries(RATES_PER_S).map(([kind, rate]) => play(kind, rate)));
  await Promise.all(requests);
  const answers = deployment.events.filter(({ event }) => event === 'answered');
  deployment.record('summary', {
    answers: answers.length,
    spoilt: deployment.events.filter(({ event }) => event === 'spoilt').length,
  });
  return answers;
}
