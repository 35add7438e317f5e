import type { Refusal, WaitingRequest } from '@cactusstair/routing';

import type { Attempt, AttemptOptions } from './attempt.js';
import { getPriority, openAttempt } from './attempt.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { formatKind } from './relayJob.js';
import type { QueueRefusal, Waiter } from './serviceQueues.js';
import { estimateOutputTokens } from './sizePolicy.js';
import { isStillAdmitted } from './waitAdmission.js';
import { getAcceptWaitMs } from './upstreamChoice.js';

/** Work of a request while no run of its service has ended. */
const UNKNOWN_WORK_MS = 100;
/**
 * Left at the deadline beyond the expected run. Of requests that were started 2 ms before it, which
 * is what their runs take, some were cut off by it.
 */
const START_MARGIN_MS = 20;
/** Time after which a caller may return when no upstream is listed that may run its request. */
const NO_UPSTREAM_RETURN_MS = 500;

/** Describes a request for the queue of its service. */
export function createWaitingRequest(
  context: RelayContext,
  job: RelayJob,
  sizeIndex: number | undefined,
  maxWaitMs = Infinity,
): WaitingRequest {
  const { exchange, request, engine } = job;
  const state = context.queues.get(job.service);
  const kind = formatKind(job, sizeIndex);
  const run = state.runs.find(kind);
  const firstAnswer = state.firstAnswers.find(kind);
  const nowMs = context.clock.monotonicMs();
  const isResumed = exchange.firstByteMs !== undefined;
  // Only the pause counts for a stream that has begun; its caller abandons it after a longer one.
  const runMs = isResumed ? 0 : (run?.highMs ?? 0);
  const endMs = exchange.deadlineAtMs - runMs - START_MARGIN_MS;
  return {
    workspace: exchange.workspace?.name ?? '',
    priority: getPriority(exchange),
    isResumed,
    arrivedMs: exchange.arrivedMs,
    goalStartMs: exchange.arrivedMs + exchange.route!.latencyGoalMs - (firstAnswer?.meanMs ?? 0),
    latestStartMs: Math.min(nowMs + maxWaitMs, endMs),
    workMs: run?.meanMs ?? UNKNOWN_WORK_MS,
    // Callers of engines receive text: what is generated is worth more than what is read.
    value: engine ? Math.max(1, estimateOutputTokens(request)) : 1,
  };
}

/** A request in the queue of its service. */
class QueuedAttempt implements Waiter {
  private readonly startedMs: number;

  private resolve: (attempt: Attempt | undefined) => void = () => {};

  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
    private readonly options: AttemptOptions,
  ) {
    this.startedMs = context.clock.monotonicMs();
  }

  wait(request: WaitingRequest): Promise<Attempt | undefined> {
    const { context, job } = this;
    const state = context.queues.get(job.service);
    return new Promise((resolve) => {
      const cancelListener = () => {
        state.remove(this);
        this.resolve(undefined);
      };
      this.resolve = (attempt) => {
        job.exchange.offCancel(cancelListener);
        resolve(attempt);
      };
      job.exchange.onCancel(cancelListener);
      const isNew = !job.exchange.steps.some(({ step }) => step === 'sent');
      state.add(this, request, isNew);
      const position = state.queue.findPosition(this);
      if (position) job.exchange.addStep('queued', describePosition(position));
    });
  }

  tryStart(): boolean {
    const { context, job, options } = this;
    if (!isStillAdmitted(context, job)) {
      this.withdraw('not_admitted');
      return false;
    }
    const attempt = openAttempt(context, job, options);
    if (!attempt) return false;
    context.metrics.recordWait(job.service, context.clock.monotonicMs() - this.startedMs);
    this.resolve(attempt);
    return true;
  }

  refuseWithoutUpstream(): void {
    const { context, job, options } = this;
    if (getAcceptWaitMs(context, job, options.excluded) === Infinity) this.withdraw('no_upstream');
  }

  refuse(refusal: Refusal<Waiter>): void {
    refuse(this.context, this.job, refusal.reason, describePosition(refusal));
    this.resolve(undefined);
  }

  private withdraw(reason: QueueRefusal): void {
    this.context.queues.get(this.job.service).remove(this);
    refuse(this.context, this.job, reason);
    this.resolve(undefined);
  }
}

function describePosition(position: Omit<Refusal<unknown>, 'item' | 'reason'>) {
  return {
    position: position.position,
    rate: position.rate === undefined ? null : Number(position.rate.toFixed(2)),
    expectedWaitMs: Math.round(position.waitMs),
    timeLeftMs: Number.isFinite(position.timeLeftMs) ? Math.round(position.timeLeftMs) : null,
  };
}

function refuse(
  context: RelayContext,
  job: RelayJob,
  reason: QueueRefusal,
  fields: Record<string, unknown> = {},
): undefined {
  job.exchange.addStep('refused', { reason, ...fields });
  context.metrics.recordRefusal(job.service, reason);
  return undefined;
}

/** Reserves a time at which the caller of a refused request may return, in milliseconds from now. */
export function reserveReturn(
  context: RelayContext,
  job: RelayJob,
  excluded: ReadonlySet<string>,
): number {
  const acceptWaitMs = getAcceptWaitMs(context, job, excluded);
  const minMs = Number.isFinite(acceptWaitMs) ? acceptWaitMs : NO_UPSTREAM_RETURN_MS;
  const request = createWaitingRequest(context, job, undefined);
  return context.queues.get(job.service).queue.reserveReturn(request, minMs);
}

/**
 * Opens an attempt; when no upstream accepts the request now, or others wait, it waits in the queue
 * of its service.
 *
 * @param maxWaitMs longest wait, in milliseconds; it ends sooner if the answer could not be
 * complete by the deadline
 * @returns undefined when the request is refused or has ended.
 */
export async function awaitAttempt(
  context: RelayContext,
  job: RelayJob,
  options: AttemptOptions,
  maxWaitMs: number,
): Promise<Attempt | undefined> {
  if (job.exchange.isOver) return undefined;
  const { queue } = context.queues.get(job.service);
  const request = createWaitingRequest(context, job, options.sizeIndex, maxWaitMs);
  if (queue.length === 0) {
    const attempt = openAttempt(context, job, options);
    if (attempt) {
      queue.recordStarted(request);
      return attempt;
    }
  }
  const acceptWaitMs = getAcceptWaitMs(context, job, options.excluded);
  if (acceptWaitMs === Infinity) return refuse(context, job, 'no_upstream');
  if (context.clock.monotonicMs() + acceptWaitMs >= request.latestStartMs) {
    return refuse(context, job, 'not_accepting', { acceptWaitMs: Math.round(acceptWaitMs) });
  }
  return new QueuedAttempt(context, job, options).wait(request);
}
