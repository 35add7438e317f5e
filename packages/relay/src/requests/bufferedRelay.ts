import type { Attempt, RelayJob } from './attempt.js';
import { checkAnswer, openAttempt } from './attempt.js';
import type { FailedEnd } from './attemptLedger.js';
import { AttemptLedger } from './attemptLedger.js';
import type { RelayContext } from './relayContext.js';

/** How one attempt ended. */
type AttemptEnd = { type: 'answer'; status: number; headers: string[]; body: Buffer } | FailedEnd;

// An idempotent request whose answer takes this many times the latency goal is asked for elsewhere.
const SILENCE_GOALS = 2;
const MIN_SILENCE_MS = 400;
const ROOM_CHECKS = 5;
const WAIT_FOR_ROOM_MS = 40;
/** Pause that a refused caller is told to wait: a few service times of a full upstream. */
const RETRY_AFTER_MS = 400;

async function readAnswer(context: RelayContext, attempt: Attempt): Promise<AttemptEnd> {
  const head = await attempt.readHead();
  if (head.isErr()) return head.error;
  const answer = head.value;
  const status = answer.statusCode ?? 0;
  const answerHead = context.dialect.decodeAnswer(status, answer.headers);
  const wrong = checkAnswer(attempt, answerHead);
  if (wrong) {
    answer.on('error', () => {});
    return wrong;
  }
  const body = await attempt.readBody(answer);
  if (answerHead.isNotRun) return { type: 'not_run', status };
  if (body.isErr()) return body.error;
  const headers = context.dialect.listAnswerHeaders(answer.rawHeaders);
  return { type: status < 500 ? 'answer' : 'failed_answer', status, headers, body: body.value };
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

/** Opens an attempt, waiting a short time for an upstream to appear. */
async function waitAttempt(
  context: RelayContext,
  job: RelayJob,
  excluded: ReadonlySet<string>,
): Promise<Attempt | undefined> {
  const { lastEventId } = job.request;
  for (let check = 0; check < ROOM_CHECKS && !job.exchange.isOver; check += 1) {
    const attempt = openAttempt(context, job, { excluded, sizeIndex: undefined, lastEventId });
    // An upstream that was tried does not come back for this request.
    if (attempt || excluded.size > 0) return attempt;
    await context.clock.sleep(WAIT_FOR_ROOM_MS);
  }
  return undefined;
}

/** Notes an answer, whatever it says, as evidence on the upstream's version. */
function recordAnswer(context: RelayContext, attempt: Attempt, isBad: boolean): void {
  const { job, upstream } = attempt;
  const latencyMs = context.clock.monotonicMs() - attempt.startedMs;
  context.rollouts.recordOutcome(job.service, upstream.record.version, { isBad, latencyMs });
  context.crashes.recordCompletion(job.fingerprint);
}

/**
 * Relays a request whose answer is held whole before it is passed on. Idempotent requests are tried
 * at another upstream after a failure, within their attempts and the retry budget; others only
 * after a proof that they were not run.
 */
export async function relayBuffered(context: RelayContext, job: RelayJob): Promise<void> {
  const { exchange } = job;
  const route = exchange.route!;
  const isIdempotent = route.kind === 'idempotent';
  const ledger = new AttemptLedger(context, job, isIdempotent);
  while (ledger.takeAttempt()) {
    const attempt = await waitAttempt(context, job, ledger.excluded);
    if (!attempt) break;
    const silenceMs =
      isIdempotent && ledger.hasRunLeft
        ? Math.max(MIN_SILENCE_MS, SILENCE_GOALS * route.latencyGoalMs)
        : Infinity;
    const end = await runAttempt(context, attempt, silenceMs);
    if (exchange.isOver) return;
    if (end.type === 'answer' || end.type === 'failed_answer') {
      recordAnswer(context, attempt, end.type === 'failed_answer');
    }
    if (end.type === 'answer') {
      attempt.upstream.recordSuccess();
      exchange.sendAnswer(end.status, end.headers, end.body);
      return;
    }
    if (!ledger.record(attempt, end)) break;
  }
  ledger.sendFailure('outcome_unknown', 'no_upstream', RETRY_AFTER_MS);
}
