import type { ResultCodeName } from '@cactusstair/protocol';
import type { RetryBudget } from '@cactusstair/routing';

import type { CallFailure } from '../upstreams/upstreamCall.js';
import type { Attempt, RelayJob } from './attempt.js';
import type { RelayContext } from './relayContext.js';

/** An upstream's answer that says that the request failed there. */
export interface FailedAnswer {
  type: 'failed_answer';
  status: number;
  headers: string[];
  body: Buffer;
}

/** How an attempt ended that brought no answer for the caller. */
export type FailedEnd =
  | FailedAnswer
  /** The upstream states that it did not run the request. */
  | { type: 'not_run'; status: number }
  | CallFailure;

/** Notes an end and says whether another attempt may follow. */
type EndHandlers = {
  [Type in FailedEnd['type']]: (
    attempt: Attempt,
    end: Extract<FailedEnd, { type: Type }>,
  ) => boolean;
};

/** Tries that reach no upstream are not attempts, but must end some time. */
const MAX_TRIES = 8;
/** The server at an address is not the one that was expected there. */
const MISDIRECTED_STATUS = 421;

/** The attempts of one request: what they were, and whether another one may follow. */
export class AttemptLedger {
  /** Upstreams that are not tried again. */
  readonly excluded = new Set<string>();

  private readonly budget: RetryBudget;

  private runs = 0;

  private tries = 0;

  private hasBudget = true;

  private lastAnswer: FailedAnswer | undefined;

  private reason = 'no upstream has room';

  private readonly handlers: EndHandlers = {
    failed_answer: (attempt, end) => {
      this.job.exchange.addStep('upstream_failed', {
        upstream: attempt.upstream.id,
        status: end.status,
      });
      attempt.upstream.recordFailure();
      this.lastAnswer = end;
      this.recordRun();
      return end.status >= 500 && this.canRunAgain;
    },
    not_run: (attempt, end) => {
      this.job.exchange.addStep('not_run', { upstream: attempt.upstream.id, status: end.status });
      this.reason = `an upstream refused with status ${end.status}`;
      if (end.status === MISDIRECTED_STATUS) attempt.upstream.recordDown();
      else attempt.upstream.recordFailure();
      return true;
    },
    not_sent: (attempt, end) => {
      const { upstream } = attempt;
      upstream.recordFailure();
      upstream.recordDown();
      if (end.isTimeout) {
        this.context.reachability.recordUnreachable(upstream.record.zone, upstream.id);
      }
      this.hasBudget = true;
      return true;
    },
    lost: (attempt) => {
      attempt.upstream.recordFailure();
      this.context.crashes.recordCrash(this.job.fingerprint);
      this.recordRun();
      return this.canRunAgain;
    },
    cancelled: (attempt, end) => {
      attempt.upstream.recordFailure();
      if (!end.isSent) {
        this.hasBudget = true;
        return true;
      }
      this.recordRun();
      return this.canRunAgain;
    },
  };

  /** @param canRepeat whether the request may run more than once. */
  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
    private readonly canRepeat: boolean,
  ) {
    this.budget = context.getBudget(job.service);
  }

  /** Whether the route allows one more run after the present one. */
  get hasRunLeft(): boolean {
    return this.runs + 1 < this.job.exchange.route!.maxAttempts;
  }

  /** Starts one more attempt; one after an arrival at an upstream is taken from the retry budget. */
  takeAttempt(): boolean {
    this.tries += 1;
    if (this.tries > MAX_TRIES || this.job.exchange.isOver) return false;
    if (this.hasBudget || this.budget.tryTake()) {
      this.hasBudget = false;
      return true;
    }
    this.reason += '; the retry budget is spent';
    return false;
  }

  /** Takes the attempt that follows an answer which is about to be dropped. */
  takeEscalation(): boolean {
    if (!this.hasRunLeft || !this.budget.tryTake()) return false;
    this.hasBudget = true;
    this.recordRun();
    return true;
  }

  /** Notes an attempt without an answer for the caller; false when no other may follow. */
  record(attempt: Attempt, end: FailedEnd): boolean {
    this.excluded.add(attempt.upstream.id);
    if ('reason' in end) {
      this.reason = end.reason;
      const { reason } = end;
      this.job.exchange.addStep(end.type, { upstream: attempt.upstream.id, reason });
    }
    const handle = this.handlers[end.type] as (attempt: Attempt, end: FailedEnd) => boolean;
    return handle(attempt, end);
  }

  /** Answers the caller after the last attempt. */
  sendFailure(unknown: ResultCodeName, refused: ResultCodeName, retryAfterMs: number): void {
    const { exchange } = this.job;
    if (this.lastAnswer) {
      const { status, headers, body } = this.lastAnswer;
      exchange.sendAnswer(status, headers, body);
    } else if (exchange.mayHaveRun) exchange.sendFailure(unknown, this.reason);
    else exchange.sendFailure(refused, this.reason, retryAfterMs);
  }

  /** Why the last attempt failed. */
  get lastReason(): string {
    return this.reason;
  }

  private get canRunAgain(): boolean {
    return (
      this.canRepeat &&
      this.runs < this.job.exchange.route!.maxAttempts &&
      !this.context.crashes.isQuarantined(this.job.fingerprint)
    );
  }

  private recordRun(): void {
    this.runs += 1;
    this.job.exchange.mayHaveRun = true;
  }
}
