import type { IncomingMessage } from 'node:http';

import type { RunEstimate } from '@cactusstair/routing';

import type { Attempt } from './attempt.js';
import { readAnswerHead } from './attempt.js';
import type { AttemptFailure } from './attemptTracker.js';
import { AttemptTracker } from './attemptTracker.js';
import { awaitAttempt } from './awaitAttempt.js';
import { EventOrder } from './eventOrder.js';
import { EventSplitter } from './eventSplitter.js';
import type { StreamEvent } from './eventSplitter.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { computeLengthRatio, estimateGap, estimateRun } from './runEstimate.js';
import { SizeDecision } from './sizeDecision.js';
import { StreamPace } from './streamPace.js';
import { StreamProgress } from './streamProgress.js';

/** Outcome of one attempt at a stream. */
type StreamResult =
  | { type: 'complete' }
  /** The answer was discarded in favor of a larger model. */
  | { type: 'escalated'; sizeIndex: number }
  | AttemptFailure;

/** A run is given up only if its replacement completes in time with this chance. */
const MIN_REPLACEMENT_CHANCE = 0.8;
const OUT_OF_ORDER_REASON = 'the events do not follow those before';
const FOREIGN_TEXT_REASON = 'the stream holds text that belongs to no event';

/** State of one stream over all its attempts. */
class StreamRelay {
  private readonly tracker: AttemptTracker;

  private readonly order: EventOrder;

  private hasStarted = false;

  /** Events that were sent to the caller, over all attempts. */
  private eventCount = 0;

  /** Undefined when the caller named the model. */
  private readonly sizes: SizeDecision | undefined;

  private sizeIndex: number | undefined;

  /** Whether the size was chosen in favor of a smaller one. */
  private isEscalated = false;

  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
  ) {
    const { exchange, request } = job;
    const route = exchange.route!;
    this.tracker = new AttemptTracker(context, job, route.isResumable);
    this.order = new EventOrder(request.lastEventId);
    if (request.model === '*' && route.modelSizes.length > 0) {
      this.sizes = new SizeDecision(context, job, route.modelSizes);
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
      this.chooseSize();
      const attempt = await this.awaitAttempt();
      if (!attempt) break;
      const result = await this.runAttempt(attempt);
      attempt.close();
      this.recordRunTimes(attempt, result);
      if (exchange.isOver) return;
      if (result.type === 'complete') {
        attempt.recordProgress();
        attempt.recordDuration();
        attempt.upstream.recordSuccess();
        attempt.recordComplete();
        exchange.endStream();
        return;
      }
      if (result.type === 'escalated') {
        exchange.addStep('escalated', { upstream: attempt.upstream.id });
        this.sizeIndex = result.sizeIndex;
        this.isEscalated = true;
      } else if (!tracker.record(attempt, result) || !this.order.canResume) break;
    }
    if (this.hasStarted) exchange.breakStream(tracker.lastReason);
    else await tracker.sendFailure('answer_incomplete', 'overloaded');
  }

  /** Chooses the size of the next attempt, unless a part of the answer binds it to one. */
  private chooseSize(): void {
    const { tracker, order, job } = this;
    if (!this.sizes || this.isEscalated || this.hasStarted) return;
    if (order.lastEventId !== undefined || job.request.lastEventId !== undefined) return;
    this.sizeIndex = this.sizes.chooseStart(tracker.excluded, tracker.hasRunLeft);
  }

  /**
   * Records the length of a complete answer, and what is known of one that was not completed: its
   * wait and its length are at least those that were seen.
   */
  private recordRunTimes(attempt: Attempt, result: StreamResult): void {
    const { context, job } = this;
    if (result.type === 'cancelled') attempt.recordUnansweredWait();
    const ratio = computeLengthRatio(job, this.eventCount);
    if (ratio === undefined || job.request.lastEventId !== undefined) return;
    const { runTimes } = context.engines.get(job.service);
    const route = job.exchange.route!.name;
    const isLonger = job.exchange.isOver && ratio > runTimes.getLengthRatio(route).median;
    if (result.type === 'complete' || isLonger) runTimes.recordLength(route, ratio);
  }

  /** Opens an attempt; one that goes on with a stream waits no longer than its events may pause. */
  private awaitAttempt(): Promise<Attempt | undefined> {
    const { context, job, sizeIndex } = this;
    const lastEventId = this.order.lastEventId ?? job.request.lastEventId;
    const { excluded } = this.tracker;
    const { maxEventGapMs } = job.exchange.route!;
    const maxWaitMs = this.hasStarted ? maxEventGapMs : job.exchange.timeLeftMs;
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
    const sizeIndex = this.hasStarted ? undefined : this.chooseEscalation(attempt, head.confidence);
    if (sizeIndex !== undefined) return { type: 'escalated', sizeIndex };
    return this.copyEvents(attempt, answer, progress);
  }

  /** Returns the index of the larger model that replaces the answer, or undefined to keep it. */
  private chooseEscalation(attempt: Attempt, confidence: number | undefined): number | undefined {
    const { sizes, sizeIndex } = this;
    if (!sizes || sizeIndex === undefined || confidence === undefined) return undefined;
    if (!this.tracker.hasRunLeft) return undefined;
    return sizes.chooseReplacement(attempt, sizeIndex, confidence, () =>
      this.tracker.tryStartEscalation(),
    );
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
    this.eventCount += 1;
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
    return new StreamProgress(attempt, {
      maxEventGapMs: this.job.exchange.route!.maxEventGapMs,
      isUnreachable: () => this.isUnreachable(attempt),
      describeStream: () => this.describeStream(attempt),
      tryReserveMove: () =>
        this.order.canResume &&
        this.canReplacementComplete(attempt) &&
        this.tracker.tryReserveMove(attempt, this.sizeIndex),
      onGap: (gapMs) => attempt.recordGap(gapMs),
      getNowMs: () => this.context.clock.monotonicMs(),
    });
  }

  private isUnreachable({ upstream }: Attempt): boolean {
    const { crashDetector, reachability } = this.context;
    return crashDetector.hasCrashed(upstream) || reachability.isUnreachable(upstream.record.zone);
  }

  /** Describes a silent attempt and what would replace it. */
  private describeStream(attempt: Attempt) {
    const { context, job, sizeIndex } = this;
    return {
      latencyGoalMs: job.exchange.route!.latencyGoalMs,
      gap: estimateGap(context, job, sizeIndex, attempt.fullness),
      waitRatio: context.engines.get(job.service).runTimes.getWaitRatio(),
      firstEventMs: attempt.expectedWaitMs,
      promptQueueMs: attempt.upstream.backlogMs,
      replacementMs: this.estimateReplacement(attempt)?.firstEventMs ?? Infinity,
    };
  }

  private estimateReplacement(attempt: Attempt): RunEstimate | undefined {
    const excluded = new Set([...this.tracker.excluded, attempt.upstream.id]);
    const { eventCount: sentEvents } = this;
    return estimateRun(this.context, this.job, this.sizeIndex, { excluded, sentEvents });
  }

  /** Whether another upstream would complete the answer in time. */
  private canReplacementComplete(attempt: Attempt): boolean {
    const deadlineChance = this.estimateReplacement(attempt)?.deadlineChance ?? 0;
    return deadlineChance >= MIN_REPLACEMENT_CHANCE;
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
