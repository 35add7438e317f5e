import type { IncomingMessage } from 'node:http';

import type { Attempt } from './attempt.js';
import { awaitAttempt, readAnswerHead } from './attempt.js';
import type { AttemptFailure } from './attemptTracker.js';
import { AttemptTracker } from './attemptTracker.js';
import { EventOrder } from './eventOrder.js';
import { EventSplitter } from './eventSplitter.js';
import type { StreamEvent } from './eventSplitter.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { computeAcceptConfidence, estimatePressure } from './sizePolicy.js';
import { estimateFirstEventMs, listAcceptingUpstreams } from './upstreamChoice.js';
import { StreamPace } from './streamPace.js';
import { StreamProgress } from './streamProgress.js';

/** Outcome of one attempt at a stream. */
type StreamResult =
  | { type: 'complete' }
  /** The answer was discarded in favor of a larger model. */
  | { type: 'escalated'; sizeIndex: number }
  | AttemptFailure;

// A request to a fully loaded service is refused after this share of its latency goal, about 1/8.
const ROOM_TIMEOUT_GOALS = 0.12;
const RETRY_AFTER_MS = 600;
const OUT_OF_ORDER_REASON = 'the events do not follow those before';
const FOREIGN_TEXT_REASON = 'the stream holds text that belongs to no event';

/** State of one stream over all its attempts. */
class StreamRelay {
  private readonly tracker: AttemptTracker;

  private readonly order: EventOrder;

  private hasStarted = false;

  private sizeIndex: number | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
  ) {
    const { exchange, request } = job;
    const route = exchange.route!;
    this.tracker = new AttemptTracker(context, job, route.isResumable);
    this.order = new EventOrder(request.lastEventId);
    if (request.model === '*' && route.modelSizes.length > 0) {
      // The smallest model answers most requests in a tenth of the time of the largest.
      this.sizeIndex = 0;
    }
  }

  async run(): Promise<void> {
    try {
      await this.runAttempts();
    } finally {
      this.tracker.releaseReservation();
    }
  }

  private async runAttempts(): Promise<void> {
    const { tracker } = this;
    const { exchange } = this.job;
    while (tracker.tryStartAttempt()) {
      const attempt = await this.awaitAttempt();
      if (!attempt) break;
      const result = await this.runAttempt(attempt);
      attempt.close();
      if (exchange.isOver) return;
      if (result.type === 'complete') {
        attempt.recordProgress();
        attempt.recordDuration();
        attempt.upstream.recordSuccess();
        exchange.endStream();
        return;
      }
      if (result.type === 'escalated') {
        exchange.addStep('escalated', { upstream: attempt.upstream.id });
        this.sizeIndex = result.sizeIndex;
      } else if (!tracker.record(attempt, result) || !this.order.canResume) break;
    }
    if (this.hasStarted) exchange.breakStream(tracker.lastReason);
    else await tracker.sendFailure('answer_incomplete', 'overloaded', RETRY_AFTER_MS);
  }

  /** Opens an attempt; waits longer for one that goes on with a stream. */
  private awaitAttempt(): Promise<Attempt | undefined> {
    const { context, job, sizeIndex } = this;
    const lastEventId = this.order.lastEventId ?? job.request.lastEventId;
    const { excluded } = this.tracker;
    const { latencyGoalMs, maxEventGapMs } = job.exchange.route!;
    const maxWaitMs = this.hasStarted ? maxEventGapMs : ROOM_TIMEOUT_GOALS * latencyGoalMs;
    return awaitAttempt(context, job, { excluded, sizeIndex, lastEventId }, maxWaitMs);
  }

  private async runAttempt(attempt: Attempt): Promise<StreamResult> {
    const progress = this.createProgress(attempt);
    this.context.stallMonitor.add(progress);
    try {
      const head = await attempt.readHead();
      if (head.isErr()) return head.error;
      return await this.readAnswer(attempt, head.value, progress);
    } finally {
      this.context.stallMonitor.remove(progress);
    }
  }

  private async readAnswer(
    attempt: Attempt,
    answer: IncomingMessage,
    progress: StreamProgress,
  ): Promise<StreamResult> {
    const { context } = this;
    answer.on('error', () => {});
    const status = answer.statusCode ?? 0;
    const checked = readAnswerHead(attempt, answer);
    if (checked.isErr()) return checked.error;
    const head = checked.value;
    if (head.isNotRun) return { type: 'not_run', status };
    if (status >= 300) {
      this.recordOutcome(attempt, true);
      const body = await attempt.readBody(answer);
      if (body.isErr()) return body.error;
      const headers = context.dialect.listAnswerHeaders(answer.rawHeaders);
      const owner = attempt.upstream.id;
      return { type: 'failed_answer', status, headers, owner, body: body.value };
    }
    const sizeIndex = this.hasStarted ? undefined : this.chooseEscalation(head.confidence);
    if (sizeIndex !== undefined) return { type: 'escalated', sizeIndex };
    return this.copyEvents(attempt, answer, progress);
  }

  /**
   * Returns the index of the larger model that replaces the answer, or undefined to keep it. Only
   * the largest is used: sizes in between cost half as much and are right little more often than
   * the smallest.
   */
  private chooseEscalation(confidence: number | undefined): number | undefined {
    const { context, job } = this;
    const largest = job.exchange.route!.modelSizes.length - 1;
    if (this.sizeIndex === undefined || this.sizeIndex >= largest || confidence === undefined) {
      return undefined;
    }
    const { latencyGoalMs } = job.exchange.route!;
    const pressure = estimatePressure(listAcceptingUpstreams(context, job.service), latencyGoalMs);
    const elapsedMs = context.clock.monotonicMs() - job.exchange.arrivedMs;
    const firstEventMs = elapsedMs + estimateFirstEventMs(context, job, largest);
    // A dropped answer could not be replaced.
    if (firstEventMs === Infinity) return undefined;
    const isLate = firstEventMs > latencyGoalMs;
    if (confidence >= computeAcceptConfidence(job.request, pressure, isLate)) return undefined;
    return this.tracker.tryStartEscalation() ? largest : undefined;
  }

  /** Forwards whole events as they arrive, no faster than the caller reads them. */
  private async copyEvents(
    attempt: Attempt,
    answer: IncomingMessage,
    progress: StreamProgress,
  ): Promise<StreamResult> {
    const splitter = new EventSplitter();
    const pace = new StreamPace(this.context.clock, (paceMs, isLong) =>
      attempt.recordPace(paceMs, isLong),
    );
    const isResumed = this.hasStarted;
    if (isResumed) this.order.startResumedRun();
    // Without framing, bytes after the answer look like a part of it.
    const isTextAllowed = isFramed(answer) && !isResumed;
    try {
      for await (const chunk of answer as AsyncIterable<Buffer>) {
        attempt.upstream.recordProgress();
        const events = splitter.split(chunk);
        if (events.isErr()) return attempt.createFailure(events.error);
        if (!isTextAllowed && events.value.some(({ hasForeignText }) => hasForeignText)) {
          return attempt.createFailure(FOREIGN_TEXT_REASON);
        }
        for (const event of events.value) {
          pace.recordEvent();
          const kind = isResumed
            ? this.order.recordResumed(event.id, event.bytes)
            : this.order.record(event.id, event.bytes);
          if (kind === 'out_of_order') return attempt.createFailure(OUT_OF_ORDER_REASON);
          if (kind === 'repeated') continue;
          this.forwardEvent(attempt, answer, event, progress);
        }
        await this.waitForCaller(attempt, progress);
        if (this.job.exchange.isOver) return attempt.createFailure('the request has ended');
      }
    } catch {
      return attempt.createDisconnect('the stream was cut off');
    }
    if (!attempt.isWhole(answer) || splitter.hasPartialEvent) {
      return attempt.createDisconnect('the stream was cut off');
    }
    if (!isTextAllowed && splitter.hasForeignText) {
      return attempt.createFailure(FOREIGN_TEXT_REASON);
    }
    if (!this.order.canEnd) return attempt.createFailure(OUT_OF_ORDER_REASON);
    pace.recordEnd();
    this.startStream(answer);
    const { trailingBytes } = splitter;
    if (trailingBytes.length > 0) this.job.exchange.writeStream(trailingBytes);
    return { type: 'complete' };
  }

  private forwardEvent(
    attempt: Attempt,
    answer: IncomingMessage,
    event: StreamEvent,
    progress: StreamProgress,
  ): void {
    const { exchange } = this.job;
    if (exchange.isOver) return;
    attempt.recordEvent();
    if (!progress.hasEvents) this.recordOutcome(attempt, false);
    progress.recordEvent();
    this.startStream(answer);
    exchange.writeStream(event.bytes);
  }

  private async waitForCaller(attempt: Attempt, progress: StreamProgress): Promise<void> {
    const { exchange } = this.job;
    if (!exchange.outgoing.writableNeedDrain) return;
    attempt.isCallerSlow = true;
    progress.startWaitingForCaller();
    await exchange.waitForDrain();
    progress.stopWaitingForCaller();
  }

  private startStream(answer: IncomingMessage): void {
    if (this.hasStarted) return;
    const headers = this.context.dialect.listAnswerHeaders(answer.rawHeaders);
    this.job.exchange.startStream(answer.statusCode ?? 200, headers);
    this.hasStarted = true;
    this.job.exchange.addStep('first_event');
  }

  private recordOutcome(attempt: Attempt, isBad: boolean): void {
    this.context.rollouts.recordOutcome(this.job.service, attempt.upstream.record.version, {
      isBad,
      latencyMs: this.context.clock.monotonicMs() - attempt.startedMs,
    });
  }

  private createProgress(attempt: Attempt): StreamProgress {
    const { latencyGoalMs, maxEventGapMs } = this.job.exchange.route!;
    return new StreamProgress(attempt, {
      latencyGoalMs,
      maxEventGapMs,
      tryReserveMove: () =>
        this.order.canResume && this.tracker.tryReserveMove(attempt, this.sizeIndex),
      getNowMs: () => this.context.clock.monotonicMs(),
    });
  }
}

/** Whether the end of an answer is marked, other than by the end of its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
}

/** Relays a stream of events; a resumable one continues at another upstream after a failure. */
export function relayStream(context: RelayContext, job: RelayJob): Promise<void> {
  return new StreamRelay(context, job).run();
}
