import type { IncomingMessage } from 'node:http';

import type { CallFailure } from '../upstreams/upstreamCall.js';
import type { Attempt, RelayJob } from './attempt.js';
import { checkAnswer, openAttempt, recordCallFailure } from './attempt.js';
import type { RelayContext } from './relayContext.js';

/** How one attempt ended. */
type AttemptEnd =
  | { type: 'answer'; status: number; headers: string[]; body: Buffer }
  /** The upstream states that it did not run the request. */
  | { type: 'not_run'; status: number }
  | CallFailure;

// Tries that reach no upstream are not attempts, but must end some time.
const MAX_TRIES = 6;
// An idempotent request whose answer takes this many times the latency goal is asked for elsewhere.
const SILENCE_GOALS = 2;
const MIN_SILENCE_MS = 400;
const WAIT_FOR_ROOM_MS = 40;
/** Pause that a refused caller is told to wait: a few service times of a full upstream. */
const RETRY_AFTER_MS = 400;

async function readAnswer(context: RelayContext, attempt: Attempt): Promise<AttemptEnd> {
  const head = await attempt.readHead();
  if (head.isErr()) return head.error;
  const answer: IncomingMessage = head.value;
  const status = answer.statusCode ?? 0;
  const wrong = checkAnswer(attempt, answer);
  if (wrong?.isErr()) {
    answer.on('error', () => {});
    return wrong.error;
  }
  const body = await attempt.readBody(answer);
  if (context.dialect.decodeAnswer(status, answer.headers).isNotRun) {
    return { type: 'not_run', status };
  }
  if (body.isErr()) return body.error;
  const headers = context.dialect.listAnswerHeaders(answer.rawHeaders);
  return { type: 'answer', status, headers, body: body.value };
}

/** Runs one attempt to its end; a silent upstream is left after `silenceMs`. */
async function runAttempt(
  context: RelayContext,
  attempt: Attempt,
  silenceMs: number,
): Promise<AttemptEnd> {
  const timer = Number.isFinite(silenceMs)
    ? setTimeout(() => attempt.cancel('silent'), silenceMs)
    : undefined;
  try {
    return await readAnswer(context, attempt);
  } finally {
    clearTimeout(timer);
    attempt.close();
  }
}

/**
 * Relays a request whose answer is held whole before it is passed on. Idempotent requests are tried
 * at another upstream after a failure, within their attempts and the retry budget; others only
 * after a proof that they were not run.
 */
export async function relayBuffered(context: RelayContext, job: RelayJob): Promise<void> {
  const { exchange } = job;
  const route = exchange.route!;
  const budget = context.getBudget(job.service);
  const isIdempotent = route.kind === 'idempotent';
  const excluded = new Set<string>();
  let runs = 0;
  let arrivals = 0;
  let lastAnswer: Extract<AttemptEnd, { type: 'answer' }> | undefined;
  let lastReason = 'no upstream is available';
  for (let tries = 0; tries < MAX_TRIES && !exchange.isOver; tries += 1) {
    if (arrivals > 0 && !budget.tryTake()) {
      lastReason += '; the retry budget is spent';
      break;
    }
    const attempt = openAttempt(context, job, {
      excluded,
      sizeIndex: undefined,
      lastEventId: job.request.lastEventId,
    });
    if (!attempt) {
      if (excluded.size > 0 || exchange.timeLeftMs < WAIT_FOR_ROOM_MS) break;
      await context.clock.sleep(WAIT_FOR_ROOM_MS);
      continue;
    }
    const canRetry = isIdempotent && runs + 1 < route.maxAttempts;
    const silenceMs = canRetry
      ? Math.max(MIN_SILENCE_MS, SILENCE_GOALS * route.latencyGoalMs)
      : Infinity;
    const end = await runAttempt(context, attempt, silenceMs);
    excluded.add(attempt.upstream.id);
    if (exchange.isOver) return;
    if (end.type === 'answer') {
      const isFailure = end.status >= 500;
      context.rollouts.recordOutcome(job.service, attempt.upstream.record.version, {
        isBad: isFailure,
        latencyMs: context.clock.monotonicMs() - attempt.startedMs,
      });
      context.crashes.recordCompletion(job.fingerprint);
      exchange.mayHaveRun = true;
      if (isFailure) attempt.upstream.recordFailure();
      else attempt.upstream.recordSuccess();
      runs += 1;
      arrivals += 1;
      if (!isFailure || !isIdempotent || runs >= route.maxAttempts) {
        exchange.sendAnswer(end.status, end.headers, end.body);
        return;
      }
      exchange.addStep('upstream_failed', { upstream: attempt.upstream.id, status: end.status });
      lastAnswer = end;
      continue;
    }
    if (end.type === 'not_run') {
      exchange.addStep('not_run', { upstream: attempt.upstream.id, status: end.status });
      arrivals += 1;
      lastReason = `an upstream refused with status ${end.status}`;
      if (end.status === 421) attempt.upstream.recordDown();
      else attempt.upstream.recordFailure();
      continue;
    }
    recordCallFailure(attempt, end);
    lastReason = end.reason;
    if (end.type === 'not_sent' || (end.type === 'cancelled' && !end.isSent)) continue;
    if (end.type === 'cancelled') attempt.upstream.recordFailure();
    exchange.mayHaveRun = true;
    runs += 1;
    arrivals += 1;
    if (!isIdempotent || runs >= route.maxAttempts) break;
    if (context.crashes.isGuilty(job.fingerprint)) break;
  }
  if (lastAnswer) exchange.sendAnswer(lastAnswer.status, lastAnswer.headers, lastAnswer.body);
  else if (exchange.mayHaveRun) exchange.sendFailure('outcome_unknown', lastReason);
  else exchange.sendFailure('no_upstream', lastReason, RETRY_AFTER_MS);
}
