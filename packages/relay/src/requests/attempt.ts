import type { IncomingMessage } from 'node:http';

import { computeUrgency } from '@cactusstair/routing';
import type { CapacityEstimator, RunTimeEstimator, SuspectRun } from '@cactusstair/routing';
import { createClientKey } from '@cactusstair/utils';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { computePartKey } from '../upstreams/cachedParts.js';
import type { BodyListener } from '../upstreams/answerBody.js';
import type { RunningCall, Upstream } from '../upstreams/upstream.js';
import type { UpstreamRecord } from '../upstreams/upstreamRecord.js';
import type { CallFailure } from '../upstreams/upstreamCall.js';
import { UpstreamCall } from '../upstreams/upstreamCall.js';
import type { Selection } from '../upstreams/upstreamSelector.js';
import type { Exchange } from './exchange.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { formatKind } from './relayJob.js';
import type { AnswerHead } from './relayRequest.js';
import { MIN_EXPECTED_WAIT_MS } from './runEstimate.js';
import { estimateOutputTokens } from './sizePolicy.js';
import {
  chooseUpstream,
  estimateJobNominalMs,
  estimateWorkMs,
  getModel,
  getModelKey,
  getWorkClass,
} from './upstreamChoice.js';

// A connection between zones opens in about 3 ms. A lost SYN is retransmitted only after a second,
// so the request moves to another upstream well before that.
const CONNECT_TIMEOUT_MS = 150;
/** Subtracted from the upstream's deadline to leave time for the answer to travel back. */
const ANSWER_MARGIN_MS = 5;
/** An upstream that crashes on a request may have begun to write its first event. */
const MIN_PROGRESS_EVENTS = 2;

/** Answers with this status or a higher one report an error. */
const MIN_ERROR_STATUS = 400;

/** Misdirected Request: another upstream than the expected one listens at the address. */
export const MISDIRECTED_STATUS = 421;

/** Options of one attempt. */
export interface AttemptOptions {
  /** Ids of upstreams that must not be selected. */
  excluded: ReadonlySet<string>;
  /** Index into the route's model sizes; undefined when the caller named the model. */
  sizeIndex: number | undefined;
  lastEventId: string | undefined;
}

/** One run of a request at one upstream, counted in the upstream's load until `close`. */
export class Attempt {
  readonly startedMs: number;

  /** Describes the run of the upstream to which the request is sent. */
  readonly record: UpstreamRecord;

  /** Number of events that were new to the caller. */
  eventCount = 0;

  private readonly sizeIndex: number | undefined;

  /** Name by which what is learned of the model is remembered. */
  private readonly modelKey: string | undefined;

  private readonly call: UpstreamCall;

  /** Undefined until the request is sent. */
  private suspectRun: SuspectRun | undefined;

  private readonly running: RunningCall;

  /** Whether the caller was too slow for the answer, so that its time says nothing of the upstream. */
  isCallerSlow = false;

  /** Status of the answer; 0 until its head arrives. */
  answerStatus = 0;

  /** Load of the upstream when the attempt started, and when it ended. */
  private readonly startLoad: number;

  private endLoad: number | undefined;

  private readonly cancelListener = () => this.call.cancel('the request has ended');

  constructor(
    readonly context: RelayContext,
    readonly job: RelayJob,
    private readonly selection: Selection,
    options: AttemptOptions,
    /** Name of the model to ask for. */
    model: string | undefined,
  ) {
    const { exchange, request, engine } = job;
    const { upstream } = selection;
    this.startedMs = context.clock.monotonicMs();
    this.record = upstream.record;
    this.sizeIndex = options.sizeIndex;
    this.modelKey = getModelKey(context, job, options.sizeIndex);
    this.running = {
      backlogMs: engine ? selection.backlogMs : 0,
      heldTokens: engine ? request.promptTokens + estimateOutputTokens(request) : 0,
    };
    upstream.calls.add(this.running);
    this.startLoad = engine ? 0 : this.estimateLoad();
    context.notices.recordSent(upstream.record);
    if (engine)
      context.engines.get(job.service).work.record(estimateWorkMs(job, options.sizeIndex));
    context.onLoadGrowth(upstream);
    const headers = context.dialect.encodeAttempt(request, {
      upstreamId: upstream.id,
      deadlineMs: Math.max(1, Math.floor(exchange.timeLeftMs - ANSWER_MARGIN_MS)),
      workspace: exchange.workspace?.name,
      model,
      urgency: engine
        ? computeUrgency({
            prefillMs: selection.backlogMs,
            priority: getPriority(exchange),
            isResumed: options.lastEventId !== undefined,
          })
        : undefined,
      lastEventId: options.lastEventId,
      bodyBytes: request.body.length,
    });
    this.call = new UpstreamCall({
      upstream,
      method: request.method,
      path: request.path,
      headers,
      body: request.body,
      connectTimeoutMs: Math.max(1, Math.min(CONNECT_TIMEOUT_MS, exchange.timeLeftMs)),
      onConnect: () => this.recordSent(),
      lease: {
        memory: context.answerMemory,
        owner: upstream.id,
        onCallerDone: (listener) => exchange.onClosed(listener),
      },
    });
    exchange.attempt = this;
    exchange.onCancel(this.cancelListener);
    this.recordCachedParts();
  }

  private recordCachedParts(): void {
    const { job, modelKey, upstream } = this;
    if (modelKey === undefined) return;
    for (const { id } of job.request.promptParts) {
      upstream.cachedParts.record(computePartKey(modelKey, id));
    }
  }

  get upstream(): Upstream {
    return this.selection.upstream;
  }

  get wasSent(): boolean {
    return this.call.wasSent;
  }

  readHead(): Promise<Result<IncomingMessage, CallFailure>> {
    return this.call.readHead();
  }

  readBody(answer: IncomingMessage, listener?: BodyListener) {
    return this.call.readBody(answer, listener);
  }

  isWhole(answer: IncomingMessage): boolean {
    return this.call.isWhole(answer);
  }

  cancel(reason: string): void {
    this.call.cancel(reason);
  }

  createFailure(reason: string): CallFailure {
    return this.call.createFailure(reason);
  }

  createDisconnect(reason: string): CallFailure {
    return this.call.createDisconnect(reason);
  }

  /** Records an event; with the first one, the prompt no longer counts as backlog. */
  recordEvent(): void {
    this.eventCount += 1;
    if (this.eventCount === MIN_PROGRESS_EVENTS) this.recordProgress();
    if (this.eventCount > 1) return;
    this.running.backlogMs = 0;
    this.recordFirstAnswer();
    this.recordWaitRatio();
    if (this.modelKey !== undefined && this.job.engine) this.recordWait(this.modelKey);
  }

  /** Records a complete answer, to learn how long requests of its kind take. */
  recordComplete(): void {
    const { context, job, sizeIndex } = this;
    const { runs } = context.queues.get(job.service);
    runs.record(formatKind(job, sizeIndex), context.clock.monotonicMs() - this.startedMs);
    if (this.eventCount === 0) this.recordFirstAnswer();
  }

  private recordFirstAnswer(): void {
    const { context, job, sizeIndex } = this;
    const { firstAnswers } = context.queues.get(job.service);
    firstAnswers.record(formatKind(job, sizeIndex), context.clock.monotonicMs() - this.startedMs);
  }

  /** Records a pause between two events. */
  recordGap(gapMs: number): void {
    this.runTimes.recordGap(this.modelKey ?? '', this.fullness, gapMs);
  }

  /** Records that the run was given up before its first event, which takes longer than that. */
  recordUnansweredWait(): void {
    const { median } = this.runTimes.getWaitRatio();
    if (this.eventCount === 0 && this.computeWaitRatio() > median) this.recordWaitRatio();
  }

  /** Records that the request runs without crashing its upstream. */
  recordProgress(): void {
    this.suspectRun?.recordProgress();
  }

  /**
   * Records how fast the upstream works, as evidence about its version.
   *
   * @param isLong whether the answer was long enough to be compared with single others
   */
  recordPace(paceMs: number, isLong = false): void {
    const { context, job, upstream } = this;
    // An upstream that has just started is slow, whichever version it has.
    if (upstream.warmupLeftMs > 0 || context.notices.isCold(this.record)) return;
    this.recordCapacity(paceMs);
    context.rollouts.recordPace(job.service, upstream.record.version, paceMs);
    this.runTimes.recordPace(this.modelKey ?? '', this.fullness, paceMs);
    if (isLong && this.modelKey !== undefined) {
      context.rollouts.recordLoadedPace(this.record, this.modelKey, upstream.running, paceMs);
    }
  }

  private get runTimes(): RunTimeEstimator {
    return this.context.engines.get(this.job.service).runTimes;
  }

  /** Share of the upstream's slots in use. */
  get fullness(): number {
    return this.upstream.running / this.record.slots;
  }

  /** Expected wait for the first event when the request was sent. */
  get expectedWaitMs(): number {
    return this.selection.firstEventMs + MIN_EXPECTED_WAIT_MS;
  }

  private computeWaitRatio(): number {
    const waitMs = this.context.clock.monotonicMs() - this.startedMs;
    return (waitMs + MIN_EXPECTED_WAIT_MS) / this.expectedWaitMs;
  }

  private recordWaitRatio(): void {
    this.runTimes.recordWait(this.computeWaitRatio());
  }

  /** Records the time of the whole call after its answer is complete. */
  recordDuration(): void {
    const durationMs = this.context.clock.monotonicMs() - this.startedMs;
    if (this.isCapacityEvidence) this.capacity.recordCall(this.workClass, durationMs);
  }

  /** Records the time of the call, or of its events, as evidence about the upstream's capacity. */
  private recordCapacity(timeMs: number): void {
    if (!this.isCapacityEvidence) return;
    const running = (this.startLoad + (this.endLoad ?? this.estimateLoad())) / 2;
    const { record: upstream, workClass } = this;
    this.capacity.record({ upstream, workClass, running: Math.max(1, running), timeMs });
  }

  /**
   * Whether the times of this attempt tell how fast a plain upstream works: not after an error answer or
   * with a slow caller, nor when the upstream is cold or another run of it is listed by now.
   */
  private get isCapacityEvidence(): boolean {
    const isSameRun = this.upstream.record.startedAtMs === this.record.startedAtMs;
    const isCold = this.upstream.warmupLeftMs > 0 || this.context.notices.isCold(this.record);
    const isSound = !this.isCallerSlow && this.answerStatus < MIN_ERROR_STATUS;
    return !this.job.engine && isSameRun && !isCold && isSound;
  }

  private get capacity(): CapacityEstimator {
    return this.context.capacities.get(this.job.service, false);
  }

  private get workClass(): string {
    return getWorkClass(this.job, this.modelKey);
  }

  private estimateLoad(): number {
    return this.upstream.estimateLoad(this.capacity.estimateCallMs(this.workClass)).running;
  }

  private recordSent(): void {
    const { context, job, upstream } = this;
    context.reachability.recordReached(upstream.record.zone);
    context.notices.recordReached(this.record);
    this.suspectRun = context.crashes.startRun(upstream.id, job.traits, () =>
      this.cancel('the request crashes the upstreams that run it'),
    );
  }

  /** Records how long the first event took, to learn from it for later requests. */
  private recordWait(model: string): void {
    const { context, job, selection } = this;
    const { upstream, queuedMs: backlogMs } = selection;
    const { prefill, queueBias } = context.engines.get(job.service);
    const waitMs = context.clock.monotonicMs() - this.startedMs;
    const nominalMs = estimateJobNominalMs(job, this.sizeIndex, selection.uncachedTokens);
    const averageMs = prefill.estimateMs(model, nominalMs) + backlogMs;
    upstream.recordWait(waitMs + MIN_EXPECTED_WAIT_MS, averageMs + MIN_EXPECTED_WAIT_MS);
    queueBias.record(upstream.record.zone, waitMs, selection.firstEventMs);
    prefill.record({ model, nominalMs, backlogMs, waitMs });
  }

  /** Removes the attempt from the upstream's load, offers its place and closes its connection. */
  close(): void {
    if (!this.job.engine) this.endLoad ??= this.estimateLoad();
    const isFirst = this.upstream.calls.delete(this.running);
    if (isFirst) this.context.queues.get(this.job.service).offerOwnPlace();
    this.suspectRun?.end();
    this.job.exchange.offCancel(this.cancelListener);
    this.job.exchange.attempt = undefined;
    this.call.cancel('the attempt was closed');
  }
}

export function getPriority({ workspace, route }: Exchange): number {
  return workspace?.priority ?? route!.priority;
}

/**
 * Chooses an upstream and opens a call to it.
 *
 * @returns undefined when no upstream has room or the request has ended: a refusal at its deadline
 * promises that it will not run later.
 */
export function openAttempt(
  context: RelayContext,
  job: RelayJob,
  options: AttemptOptions,
): Attempt | undefined {
  if (job.exchange.isOver) return undefined;
  const selection = chooseUpstream(context, job, options.sizeIndex, options.excluded);
  if (!selection) return undefined;
  const { upstream } = selection;
  const model = getModel(job, options.sizeIndex);
  job.exchange.addStep('sent', {
    upstream: upstream.id,
    version: upstream.record.version,
    ...(model === undefined
      ? {}
      : {
          model: createClientKey(model),
          queuedMs: Math.round(selection.queuedMs),
          prefillMs: Math.round(selection.backlogMs),
          running: upstream.running,
        }),
  });
  return new Attempt(context, job, selection, options, model);
}

/**
 * Decodes and checks the head of an attempt's answer, and records what the upstream says in it about
 * itself.
 */
export function readAnswerHead(
  attempt: Attempt,
  answer: IncomingMessage,
): Result<AnswerHead, CallFailure> {
  const { dialect, notices } = attempt.context;
  const status = answer.statusCode ?? 0;
  const head = dialect.decodeAnswer(status, answer.headers);
  attempt.answerStatus = status;
  const mismatch = checkAnswer(attempt, head);
  if (mismatch) return err(mismatch);
  // Another upstream than the one that was called answers with this status.
  if (status !== MISDIRECTED_STATUS) {
    notices.record(attempt.record, dialect.decodeNotice(status, answer.headers));
  }
  return ok(head);
}

/**
 * Checks that an answer belongs to this request, is signed and is not encoded.
 *
 * @returns the failure, or undefined when the answer may be used.
 */
function checkAnswer(attempt: Attempt, head: AnswerHead): CallFailure | undefined {
  const { id } = attempt.job.request;
  // A refusal may come before the upstream has read the id.
  const isForeign = head.requestId !== id && !(head.isNotRun && head.requestId === undefined);
  if (isForeign) return attempt.createFailure('the answer echoes the id of another request');
  if (head.isNotRun) return undefined;
  if (head.isEncoded) return attempt.createFailure('the answer has a content encoding');
  if (!head.isSigned) return attempt.createFailure('the answer is not signed');
  return undefined;
}
