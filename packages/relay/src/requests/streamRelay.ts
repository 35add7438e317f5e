import type { IncomingMessage } from 'node:http';

import type { Attempt, RelayJob } from './attempt.js';
import { checkAnswer, estimateFirstEventMs, openAttempt } from './attempt.js';
import type { AttemptFailure } from './attemptTracker.js';
import { AttemptTracker } from './attemptTracker.js';
import { EventSplitter } from './eventSplitter.js';
import type { RelayContext } from './relayContext.js';
import type { MonitoredCall } from './stallMonitor.js';
import { computeAcceptConfidence, estimatePressure } from './sizePolicy.js';

/** Outcome of one attempt at a stream. */
type StreamResult =
  | { type: 'complete' }
  /** The answer was discarded in favor of a larger model. */
  | { type: 'escalated'; sizeIndex: number }
  | AttemptFailure;

// A request to a fully loaded service is refused after this share of its latency goal, about 1/8.
const ROOM_TIMEOUT_GOALS = 0.12;
const ROOM_CHECK_INTERVAL_MS = 40;
const RETRY_AFTER_MS = 600;
// An upstream that has sent nothing on any connection for this long is considered dead.
const SILENT_UPSTREAM_TIMEOUT_MS = 700;
/** The same when its zone is known to be unreachable. */
const UNREACHABLE_ZONE_TIMEOUT_MS = 250;
/** Prompt processing at an upstream may take this many times its estimate. */
const PREFILL_TIMEOUT_FACTOR = 2;
const MAX_PREFILL_TIMEOUT_MS = 3000;
// In latency goals; after this wait for a first event, another upstream is faster in most cases.
const FIRST_EVENT_TIMEOUT_GOALS = 1.6;
/** In maximum event gaps; a longer pause moves a stream even if its upstream serves others. */
const EVENT_TIMEOUT_GAPS = 1.6;

/** State of one stream over all its attempts. */
class StreamRelay {
  private readonly tracker: AttemptTracker;

  private lastEventId: string | undefined;

  private hasStarted = false;

  private sizeIndex: number | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
  ) {
    const { exchange, request } = job;
    const route = exchange.route!;
    this.tracker = new AttemptTracker(context, job, route.isResumable);
    this.lastEventId = request.lastEventId;
    if (request.model === '*' && route.modelSizes.length > 0) {
      // The smallest model answers most requests in a tenth of the time of the largest.
      this.sizeIndex = 0;
    }
  }

  async run(): Promise<void> {
    const { context, job, tracker } = this;
    const { exchange } = job;
    while (tracker.tryStartAttempt()) {
      const attempt = await this.waitForAttempt();
      if (!attempt) break;
      const result = await this.runAttempt(attempt);
      attempt.close();
      if (exchange.isOver) return;
      if (result.type === 'complete') {
        context.crashes.recordCompletion(job.fingerprint);
        attempt.upstream.recordSuccess();
        exchange.endStream();
        return;
      }
      if (result.type === 'escalated') {
        exchange.addStep('escalated', { upstream: attempt.upstream.id });
        this.sizeIndex = result.sizeIndex;
      } else if (!tracker.record(attempt, result)) break;
    }
    if (this.hasStarted) exchange.breakStream(tracker.lastReason);
    else tracker.sendFailure('answer_incomplete', 'overloaded', RETRY_AFTER_MS);
  }

  /** Opens an attempt; when no upstream has room, checks again for a short time. */
  private async waitForAttempt(): Promise<Attempt | undefined> {
    const { context, job } = this;
    const { excluded } = this.tracker;
    const { exchange } = job;
    const untilMs =
      context.clock.monotonicMs() +
      (this.hasStarted
        ? exchange.route!.maxEventGapMs
        : ROOM_TIMEOUT_GOALS * exchange.route!.latencyGoalMs);
    for (;;) {
      const attempt = openAttempt(context, job, {
        excluded,
        sizeIndex: this.sizeIndex,
        lastEventId: this.lastEventId,
      });
      if (attempt || exchange.isOver || context.clock.monotonicMs() >= untilMs) return attempt;
      await context.clock.sleep(ROOM_CHECK_INTERVAL_MS);
    }
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
    const head = context.dialect.decodeAnswer(status, answer.headers);
    const mismatch = checkAnswer(attempt, head);
    if (mismatch) return mismatch;
    if (head.isNotRun) return { type: 'not_run', status };
    if (status >= 300) {
      this.recordOutcome(attempt, true);
      const body = await attempt.readBody(answer);
      if (body.isErr()) return body.error;
      const headers = context.dialect.listAnswerHeaders(answer.rawHeaders);
      return { type: 'failed_answer', status, headers, body: body.value };
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
    const pressure = estimatePressure(context.directory.listUsable(job.service), latencyGoalMs);
    const elapsedMs = context.clock.monotonicMs() - job.exchange.arrivedMs;
    const firstEventMs = elapsedMs + estimateFirstEventMs(context, job, largest);
    const isLate = firstEventMs > latencyGoalMs;
    if (confidence >= computeAcceptConfidence(job.request, pressure, isLate)) return undefined;
    return this.tracker.tryStartEscalation() ? largest : undefined;
  }

  /** Forwards whole events as they arrive. */
  private copyEvents(
    attempt: Attempt,
    answer: IncomingMessage,
    progress: StreamProgress,
  ): Promise<StreamResult> {
    const { exchange } = this.job;
    const splitter = new EventSplitter();
    const isFramed =
      answer.headers['transfer-encoding'] !== undefined ||
      answer.headers['content-length'] !== undefined;
    return new Promise((resolve) => {
      answer.on('data', (chunk: Buffer) => {
        attempt.upstream.recordProgress();
        progress.recordBytes();
        if (exchange.isOver) return;
        for (const event of splitter.split(chunk)) {
          if (!this.isNewEvent(event.id)) continue;
          if (!progress.hasEvents) {
            progress.hasEvents = true;
            attempt.recordFirstEvent();
            this.recordOutcome(attempt, false);
          }
          this.startStream(answer);
          if (event.id !== undefined) this.lastEventId = event.id;
          exchange.outgoing.write(event.bytes);
        }
      });
      answer.on('close', () => resolve(attempt.createFailure('the stream was cut off')));
      answer.on('end', () => {
        if (!attempt.isWhole(answer) || splitter.hasPartialEvent) {
          resolve(attempt.createFailure('the stream was cut off'));
        } else if (!isFramed) {
          // Without framing a truncated stream looks complete, so resume at another upstream.
          resolve(attempt.createFailure('the stream had neither chunked encoding nor a length'));
        } else {
          this.startStream(answer);
          resolve({ type: 'complete' });
        }
      });
    });
  }

  /** Whether an event is newer than the last one sent; a resumed stream may repeat events. */
  private isNewEvent(id: string | undefined): boolean {
    if (id === undefined || this.lastEventId === undefined) return true;
    return Number(id) > Number(this.lastEventId);
  }

  private startStream(answer: IncomingMessage): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    const headers = this.context.dialect.listAnswerHeaders(answer.rawHeaders);
    this.job.exchange.startStream(answer.statusCode ?? 200, headers);
    this.job.exchange.addStep('first_event');
  }

  private recordOutcome(attempt: Attempt, isBad: boolean): void {
    this.context.rollouts.recordOutcome(this.job.service, attempt.upstream.record.version, {
      isBad,
      latencyMs: this.context.clock.monotonicMs() - attempt.startedMs,
    });
  }

  private createProgress(attempt: Attempt): StreamProgress {
    const route = this.job.exchange.route!;
    return new StreamProgress(attempt, this.context.clock.monotonicMs(), {
      firstEventMs: FIRST_EVENT_TIMEOUT_GOALS * route.latencyGoalMs,
      eventGapMs: EVENT_TIMEOUT_GAPS * route.maxEventGapMs,
      // Without another run, cancelling would only lose the stream.
      canRetry: () => route.isResumable && this.tracker.hasRunLeft,
      getNowMs: () => this.context.clock.monotonicMs(),
    });
  }
}

/** Tracks the progress of one attempt at a stream. */
class StreamProgress implements MonitoredCall {
  hasEvents = false;

  private lastBytesAtMs: number;

  constructor(
    private readonly attempt: Attempt,
    startedMs: number,
    private readonly limits: {
      firstEventMs: number;
      eventGapMs: number;
      canRetry: () => boolean;
      getNowMs: () => number;
    },
  ) {
    this.lastBytesAtMs = startedMs;
  }

  recordBytes(): void {
    this.lastBytesAtMs = this.limits.getNowMs();
  }

  describeStall(nowMs: number): string | undefined {
    if (!this.limits.canRetry()) return undefined;
    const silentMs = nowMs - this.lastBytesAtMs;
    const upstreamSilentMs = Math.min(silentMs, nowMs - this.attempt.upstream.lastProgressMs);
    const { context, upstream } = this.attempt;
    // An engine sends nothing while it processes prompts, whichever instance sent them.
    const prefillTimeoutMs = Math.min(
      MAX_PREFILL_TIMEOUT_MS,
      PREFILL_TIMEOUT_FACTOR * upstream.backlogMs,
    );
    const timeoutMs = context.reachability.isUnreachable(upstream.record.zone)
      ? UNREACHABLE_ZONE_TIMEOUT_MS
      : SILENT_UPSTREAM_TIMEOUT_MS + prefillTimeoutMs;
    if (upstreamSilentMs > timeoutMs) return `the upstream sent nothing for ${timeoutMs} ms`;
    const limitMs = this.hasEvents
      ? this.limits.eventGapMs
      : this.limits.firstEventMs + prefillTimeoutMs;
    return silentMs > limitMs ? `no event for ${Math.round(silentMs)} ms` : undefined;
  }

  onStall(reason: string): void {
    this.attempt.cancel(reason);
  }
}

/** Relays a stream of events; a resumable one continues at another upstream after a failure. */
export function relayStream(context: RelayContext, job: RelayJob): Promise<void> {
  return new StreamRelay(context, job).run();
}
