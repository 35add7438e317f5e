import type { BufferedAnswer } from './answerDelivery.js';
import { sendAnswer } from './answerDelivery.js';
import { AnswerProgress } from './answerProgress.js';
import type { Attempt } from './attempt.js';
import { readAnswerHead } from './attempt.js';
import type { AttemptFailure } from './attemptTracker.js';
import { AttemptTracker } from './attemptTracker.js';
import { awaitAttempt } from './awaitAttempt.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';

/** Outcome of one attempt. */
type AttemptResult = ({ type: 'answer' } & BufferedAnswer) | AttemptFailure;

// An idempotent request whose upstream is silent for this many latency goals moves to another one.
const SILENCE_TIMEOUT_GOALS = 2;
const MIN_SILENCE_TIMEOUT_MS = 400;

async function readAnswer(
  context: RelayContext,
  attempt: Attempt,
  progress: AnswerProgress,
): Promise<AttemptResult> {
  const head = await attempt.readHead();
  if (head.isErr()) return head.error;
  const answer = head.value;
  const status = answer.statusCode ?? 0;
  const checked = readAnswerHead(attempt, answer);
  // If the head says all, the body is not read, as it might never end.
  if (checked.isErr() || checked.value.isNotRun) answer.on('error', () => {});
  if (checked.isErr()) return checked.error;
  if (checked.value.isNotRun) return { type: 'not_run', status };
  const body = await attempt.readBody(answer, progress);
  if (body.isErr()) return body.error;
  const headers = context.dialect.listAnswerHeaders(answer.rawHeaders);
  const type = status < 500 ? 'answer' : 'failed_answer';
  return { type, status, headers, owner: attempt.upstream.id, body: body.value };
}

/** Runs one attempt and gives it up when it is silent and another one can replace it. */
async function runAttempt(
  context: RelayContext,
  attempt: Attempt,
  tracker: AttemptTracker,
): Promise<AttemptResult> {
  const { latencyGoalMs } = attempt.job.exchange.route!;
  const progress = new AnswerProgress(attempt, {
    silenceMs: Math.max(MIN_SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_GOALS * latencyGoalMs),
    tryReserveMove: () => tracker.tryReserveMove(attempt, undefined),
    getNowMs: () => context.clock.monotonicMs(),
  });
  context.stallMonitor.add(progress);
  try {
    return await readAnswer(context, attempt, progress);
  } finally {
    context.stallMonitor.remove(progress);
    attempt.close();
  }
}

/** Records an answer, successful or not, as evidence about the upstream's version. */
function recordAnswer(context: RelayContext, attempt: Attempt, isBad: boolean): void {
  const { job, upstream } = attempt;
  const latencyMs = context.clock.monotonicMs() - attempt.startedMs;
  context.rollouts.recordOutcome(job.service, upstream.record.version, { isBad, latencyMs });
  if (!isBad) attempt.recordPace(latencyMs);
  attempt.recordDuration();
  attempt.recordProgress();
}

/**
 * Relays a request and buffers its whole answer before passing it on. After a failure, idempotent
 * requests are retried at another upstream within the route's attempts and the retry budget; other
 * requests only if the upstream proved that it did not run them.
 */
export async function relayBuffered(context: RelayContext, job: RelayJob): Promise<void> {
  const isIdempotent = job.exchange.route!.kind === 'idempotent';
  const tracker = new AttemptTracker(context, job, isIdempotent);
  try {
    await runAttempts(context, job, tracker);
  } finally {
    tracker.releaseReservation();
  }
}

async function runAttempts(
  context: RelayContext,
  job: RelayJob,
  tracker: AttemptTracker,
): Promise<void> {
  const { exchange } = job;
  const { excluded } = tracker;
  const options = { excluded, sizeIndex: undefined, lastEventId: job.request.lastEventId };
  while (tracker.tryStartAttempt()) {
    const attempt = await awaitAttempt(context, job, options, exchange.timeLeftMs);
    if (!attempt) break;
    const result = await runAttempt(context, attempt, tracker);
    if (exchange.isOver) return;
    if (result.type === 'answer' || result.type === 'failed_answer') {
      recordAnswer(context, attempt, result.type === 'failed_answer');
    }
    if (result.type === 'answer') {
      attempt.upstream.recordSuccess();
      attempt.recordComplete();
      await sendAnswer(context, exchange, result);
      return;
    }
    if (!tracker.record(attempt, result)) break;
  }
  await tracker.sendFailure('outcome_unknown', 'no_upstream');
}
