import type { ResultCodeName } from '@cactusstair/protocol';
import type { RetryBudget } from '@cactusstair/routing';

import type { CallFailure } from '../upstreams/upstreamCall.js';
import type { BufferedAnswer } from './answerDelivery.js';
import { sendAnswer } from './answerDelivery.js';
import type { Attempt } from './attempt.js';
import { MISDIRECTED_STATUS } from './attempt.js';
import { reserveReturn } from './awaitAttempt.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { hasUpstreamWithRoom } from './upstreamChoice.js';

/** An upstream's error answer, kept to be sent if no other attempt succeeds. */
export interface FailedAnswer extends BufferedAnswer {
  type: 'failed_answer';
}

/** Why an attempt brought no answer for the caller. */
export type AttemptFailure =
  | FailedAnswer
  /** The upstream states that it did not run the request. */
  | { type: 'not_run'; status: number }
  | CallFailure;

/** Each handler records a failure and returns whether another attempt may follow. */
type FailureHandlers = {
  [Type in AttemptFailure['type']]: (
    attempt: Attempt,
    failure: Extract<AttemptFailure, { type: Type }>,
  ) => boolean;
};

/**
 * Attempts that reach no upstream do not count against the route's limit; this bounds them as well.
 */
const MAX_TRIES = 8;

/** Too Many Requests and Service Unavailable, with the proof that the request was not run. */
const FULL_STATUSES: readonly number[] = [429, 503];

function isFullRejection(failure: AttemptFailure): boolean {
  return failure.type === 'not_run' && FULL_STATUSES.includes(failure.status);
}

/** Records the attempts of one request and decides whether another one may follow. */
export class AttemptTracker {
  /** Ids of the upstreams that were tried. */
  readonly excluded = new Set<string>();

  /** Ids of the upstreams that were full when the request reached them. */
  private readonly rejecting = new Set<string>();

  private readonly budget: RetryBudget;

  private runs = 0;

  private tries = 0;

  private isNextAttemptFree = true;

  /** Whether a retry was taken from the budget for an attempt that has not started. */
  private hasReservation = false;

  private lastAnswer: FailedAnswer | undefined;

  private reason = 'no upstream has room';

  private readonly handlers: FailureHandlers = {
    failed_answer: (attempt, failure) => {
      this.job.exchange.addStep('upstream_failed', {
        upstream: attempt.upstream.id,
        status: failure.status,
      });
      attempt.upstream.recordFailure();
      this.lastAnswer = failure;
      this.recordRun();
      return failure.status >= 500 && this.canRunAgain;
    },
    not_run: (attempt, failure) => {
      this.job.exchange.addStep('not_run', {
        upstream: attempt.upstream.id,
        status: failure.status,
      });
      this.reason = `an upstream refused the request with status ${failure.status}`;
      if (failure.status === MISDIRECTED_STATUS) attempt.upstream.recordDown();
      else if (isFullRejection(failure)) this.recordFull(attempt);
      else attempt.upstream.recordFailure();
      return true;
    },
    not_sent: (attempt, failure) => {
      const { upstream } = attempt;
      upstream.recordFailure();
      upstream.recordDown();
      if (failure.isTimeout) {
        this.context.reachability.recordUnreachable(upstream.record.zone, upstream.id);
      }
      if (failure.isRefused) this.context.crashDetector.recordRefused(upstream);
      this.isNextAttemptFree = true;
      return true;
    },
    lost: (attempt, failure) => {
      attempt.upstream.recordFailure();
      if (failure.isDisconnected) this.checkDisconnect(attempt).catch(() => {});
      this.recordRun();
      return this.canRunAgain;
    },
    cancelled: (attempt, failure) => {
      attempt.upstream.recordFailure();
      if (!failure.isSent) {
        this.isNextAttemptFree = true;
        return true;
      }
      this.recordRun();
      return this.canRunAgain;
    },
  };

  /** @param canRepeat whether the request may run more than once */
  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
    private readonly canRepeat: boolean,
  ) {
    this.budget = context.getBudget(job.service);
  }

  /** Whether the route allows another run after the current one. */
  get hasRunLeft(): boolean {
    return this.runs + 1 < this.job.exchange.route!.maxAttempts;
  }

  /**
   * Starts another attempt unless the limits forbid it. The attempt is charged to the retry budget
   * if the previous one reached an upstream.
   */
  tryStartAttempt(): boolean {
    this.tries += 1;
    if (this.tries > MAX_TRIES || this.job.exchange.isOver) return false;
    const isFirstOfTrial = this.job.isTrial && this.tries === 1;
    if (!isFirstOfTrial && this.context.crashes.isQuarantined(this.job.traits)) {
      this.reason = 'the request crashed the upstreams that ran it';
      return false;
    }
    if (this.isNextAttemptFree || this.hasReservation || this.budget.tryTake()) {
      if (!this.isNextAttemptFree) this.hasReservation = false;
      this.isNextAttemptFree = false;
      return true;
    }
    this.reason += '; the retry budget is exhausted';
    return false;
  }

  /**
   * Reserves a run and a retry for an attempt that replaces the current one, if another upstream has
   * room for it. An attempt that goes on is given up only then; cancelling it would lose its answer.
   * What is not used goes back with `releaseReservation`.
   *
   * @param sizeIndex index into the route's model sizes; undefined when the caller named the model
   */
  tryReserveMove(current: Attempt, sizeIndex: number | undefined): boolean {
    const excluded = new Set([...this.excluded, current.upstream.id]);
    return (
      this.canRepeat &&
      this.hasRunLeft &&
      hasUpstreamWithRoom(this.context, this.job, excluded, sizeIndex) &&
      this.tryReserveAttempt()
    );
  }

  private tryReserveAttempt(): boolean {
    if (this.tries >= MAX_TRIES) return false;
    this.hasReservation ||= this.budget.tryTake();
    return this.hasReservation;
  }

  releaseReservation(): void {
    if (this.hasReservation) this.budget.giveBack();
    this.hasReservation = false;
  }

  /** Reserves an attempt at a larger model, whose answer replaces the one at hand. */
  tryStartEscalation(): boolean {
    if (!this.hasRunLeft || !this.budget.tryTake()) return false;
    this.isNextAttemptFree = true;
    this.recordRun();
    return true;
  }

  /** Records a failed attempt and returns whether another one may follow. */
  record(attempt: Attempt, failure: AttemptFailure): boolean {
    if (!isFullRejection(failure)) this.excluded.add(attempt.upstream.id);
    if ('reason' in failure) {
      this.reason = failure.reason;
      const { reason } = failure;
      this.job.exchange.addStep(failure.type, {
        upstream: attempt.upstream.id,
        reason,
        ...(failure.type === 'lost' ? this.describeLoss(attempt) : {}),
      });
    }
    const handle = this.handlers[failure.type] as (
      attempt: Attempt,
      failure: AttemptFailure,
    ) => boolean;
    return handle(attempt, failure);
  }

  /**
   * Answers the caller after the last attempt failed.
   *
   * @param unknown code to send when an upstream may have run the request
   * @param refused code to send when none did
   */
  async sendFailure(unknown: ResultCodeName, refused: ResultCodeName): Promise<void> {
    const { exchange } = this.job;
    if (this.lastAnswer) await sendAnswer(this.context, exchange, this.lastAnswer);
    else if (exchange.mayHaveRun) exchange.sendFailure(unknown, this.reason);
    else exchange.sendFailure(refused, this.reason, this.reserveReturnMs());
  }

  /** Reason of the last failure. */
  get lastReason(): string {
    return this.reason;
  }

  private reserveReturnMs(): number | undefined {
    const { context, job } = this;
    return job.exchange.isOver ? undefined : reserveReturn(context, job, this.excluded);
  }

  /**
   * Records a rejection of an upstream that is full. The request waits for a place again, also at
   * this upstream; one that rejects it a second time is left out.
   */
  private recordFull({ upstream }: Attempt): void {
    if (this.rejecting.has(upstream.id)) {
      this.excluded.add(upstream.id);
      upstream.recordFailure();
    }
    this.rejecting.add(upstream.id);
    upstream.recordFull();
  }

  private get canRunAgain(): boolean {
    return (
      this.canRepeat &&
      this.runs < this.job.exchange.route!.maxAttempts &&
      !this.context.crashes.isQuarantined(this.job.traits)
    );
  }

  /** Returns what tells apart the requests that an upstream lost when it crashed. */
  private describeLoss({ eventCount }: Attempt): Record<string, unknown> {
    return { events: eventCount, traits: this.job.traits };
  }

  /**
   * Finds out why an upstream has closed a connection. An answer that breaks off although its upstream
   * runs on speaks against the upstream's version; a crash may be the request's fault.
   */
  private async checkDisconnect(attempt: Attempt): Promise<void> {
    const { context, job } = this;
    const latencyMs = context.clock.monotonicMs() - attempt.startedMs;
    const hasCrashed = await context.crashDetector.check(attempt.upstream);
    if (hasCrashed || attempt.answerStatus === 0) return;
    context.rollouts.recordOutcome(job.service, attempt.record.version, {
      isBad: true,
      latencyMs,
    });
  }

  private recordRun(): void {
    this.runs += 1;
    this.job.exchange.mayHaveRun = true;
  }
}
