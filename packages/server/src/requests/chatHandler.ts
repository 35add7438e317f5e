import type { BillingJournal, QuotaLease } from '@cactusstair/coordination';
import type { BillStep, Failure, Workspace } from '@cactusstair/protocol';
import { createFailure, getResultCode } from '@cactusstair/protocol';
import type {
  CascadePolicy,
  CascadeRequest,
  CrashAttribution,
  RungInfo,
  VersionStatsRecorder,
} from '@cactusstair/routing';
import { computeFingerprint } from '@cactusstair/routing';
import type { Clock, Invariants } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { AnswerSink } from '../callers/answerSink.js';
import type { CallerHeaders } from '../callers/callerHeaders.js';
import type { ChatBody } from '../callers/chatBody.js';
import { classifyRequest, estimateCompletionTokens, getPromptText } from '../callers/chatBody.js';
import type { EntryMetrics } from '../monitoring/entryMetrics.js';
import { computePrefixHashes } from '../upstreams/prefixHashes.js';
import type { ResolvedVersion, Target, VersionResolver } from '../workspaces/versionResolver.js';
import type { AnswerRater } from './answerRater.js';
import { computeCostMicros, sumSteps } from './pricing.js';
import { listRequestTraits } from './requestTraits.js';
import type { ChatCall, RungAnswer } from './chatCall.js';
import type { RungRunner } from './rungRunner.js';
import type { BoundSession, SessionBinder } from './sessionBinder.js';
import { VersionLatencies } from './versionLatencies.js';

/** Options of `ChatHandler`. Times are in milliseconds. */
export interface ChatHandlerOptions {
  resolver: VersionResolver;
  sessions: SessionBinder;
  billing: BillingJournal;
  quotas: QuotaLease;
  crashes: CrashAttribution;
  cascades: CascadePolicy;
  rungs: RungRunner;
  rater: AnswerRater;
  versionStats: VersionStatsRecorder;
  metrics: EntryMetrics;
  invariants: Invariants;
  clock: Clock;
  requestMs: number;
}

/** A chat request of an authenticated caller. */
export interface ChatRequest {
  workspace: Workspace;
  headers: CallerHeaders;
  body: ChatBody;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
}

/** A request with its resolved target, session and rungs. */
interface PreparedChat {
  call: ChatCall;
  target: Target;
  bound: BoundSession;
  /** Allowed rungs, from the cheapest to the strongest model. */
  rungs: ResolvedVersion[];
}

const CHARACTERS_PER_TOKEN = 4;
const MS_PER_SECOND = 1000;

/** Serves chat requests: binds the session, reserves quota, runs the rungs and records the bill. */
export class ChatHandler {
  private readonly latencies = new VersionLatencies();

  constructor(private readonly options: ChatHandlerOptions) {}

  /** Writes the answer or a failure with its result code to `sink`. */
  async handle(request: ChatRequest, sink: AnswerSink): Promise<void> {
    const labels = { workspace: request.workspace.name, class: classifyRequest(request.body) };
    await this.options.metrics.trackRequest(labels, async () => {
      const result = await this.serve(request, sink);
      if (result.isErr()) sink.fail(result.error, request.headers.requestId);
      return result;
    });
  }

  private async serve(request: ChatRequest, sink: AnswerSink): Promise<Result<void, Failure>> {
    const prepared = await this.prepare(request);
    if (prepared.isErr()) return err(prepared.error);
    const { call } = prepared.value;
    const { quotas, invariants } = this.options;
    const { name, tokensPerMinute } = call.workspace;
    const reserved = estimateTokens(call);
    const quota = quotas.tryConsume(name, tokensPerMinute, reserved);
    if (quota.isErr()) return err(quota.error);
    const result = await this.runRungs(prepared.value, sink);
    const used = result.isOk() ? result.value : 0;
    quotas.refund(name, Math.max(0, reserved - used));
    if (result.isErr()) {
      invariants.check(
        'not_run_means_not_dispatched',
        getResultCode(result.error).ran !== 'no' || !call.dispatched,
        () => `request ${call.requestId} was dispatched but answered with ${result.error.name}`,
      );
    }
    return result.map(() => undefined);
  }

  private async prepare(request: ChatRequest): Promise<Result<PreparedChat, Failure>> {
    const { workspace, body, headers } = request;
    const { resolver, sessions, billing, crashes } = this.options;
    const target = resolver.resolveTarget(workspace, body.model);
    if (target.isErr()) return err(target.error);
    const bound = await sessions.bind(workspace, target.value, headers.sessionToken);
    if (bound.isErr()) return err(bound.error);
    const call = this.createCall(request);
    const admission = crashes.admit(call.traits);
    call.isTrial = admission === 'trial';
    if (admission === 'refused') {
      return err(
        createFailure('request_quarantined', 'the request crashed the upstreams that ran it'),
      );
    }
    if (!billing.hasRoom()) {
      return err(
        createFailure(
          'billing_unavailable',
          'too many bills are waiting to be stored',
          MS_PER_SECOND,
        ),
      );
    }
    const pinned = target.value.models.map((model) =>
      resolver.resolvePinnedVersion(workspace, model, bound.value.session),
    );
    // A cascade skips rungs whose pinned version is no longer allowed.
    const rungs = pinned.flatMap((resolved) => (resolved.isOk() ? [resolved.value] : []));
    const refused = pinned.find((resolved) => resolved.isErr());
    if (rungs.length === 0 && refused?.isErr()) return err(refused.error);
    return ok({ call, target: target.value, bound: bound.value, rungs });
  }

  private createCall(request: ChatRequest): ChatCall {
    const { body, workspace, headers } = request;
    const prompt = getPromptText(body);
    const fingerprint = computeFingerprint(workspace.name, prompt);
    return {
      requestId: headers.requestId,
      workspace,
      body,
      requestClass: classifyRequest(body),
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      expectedTokens: estimateCompletionTokens(body),
      prefixHashes: computePrefixHashes(prompt),
      fingerprint,
      traits: listRequestTraits(workspace.name, fingerprint, body),
      isTrial: false,
      deadlineMs: this.options.clock.monotonicMs() + this.options.requestMs,
      signal: AbortSignal.any([request.signal, AbortSignal.timeout(this.options.requestMs)]),
      dispatched: false,
      wasInFlightAtCrash: false,
      attempts: 0,
    };
  }

  /**
   * Runs rungs from the start rung upwards until the cascade policy accepts an answer, and delivers
   * that answer.
   *
   * @returns the total tokens of all rungs that ran.
   */
  private async runRungs(
    prepared: PreparedChat,
    sink: AnswerSink,
  ): Promise<Result<number, Failure>> {
    const { call, bound, rungs } = prepared;
    const steps: BillStep[] = [];
    let rung = this.chooseStartRung(prepared, sink.streaming);
    for (;;) {
      const resolved = rungs[rung];
      if (!resolved) return err(createFailure('internal', `the cascade has no rung ${rung}`));
      sink.begin({
        requestId: call.requestId,
        model: resolved.model.name,
        version: resolved.version.version,
        sessionToken: bound.token,
      });
      const answer = await this.runRung(call, resolved, sink);
      if (answer.isErr()) return err(answer.error);
      steps.push(createStep(answer.value));
      const escalated = steps.length > 1;
      const next = await this.findNextRung(prepared, rung, answer.value, {
        escalated,
        streaming: sink.streaming,
      });
      if (next === undefined) return this.deliver(call, answer.value, steps, sink);
      this.options.metrics.escalations.inc({
        workspace: call.workspace.name,
        class: call.requestClass,
      });
      rung = next;
    }
  }

  private async runRung(
    call: ChatCall,
    resolved: ResolvedVersion,
    sink: AnswerSink,
  ): Promise<Result<RungAnswer, Failure>> {
    const { rungs, versionStats, metrics } = this.options;
    const model = resolved.model.name;
    const version = resolved.version.version;
    const answer = await rungs.run(call, resolved, (text) => sink.writeToken(text));
    if (answer.isErr()) {
      if (call.dispatched && !call.signal.aborted) {
        versionStats.recordOutcome({ model, version, failed: true });
      }
      return answer;
    }
    const { firstTokenMs, totalMs, usage } = answer.value;
    const gaps = usage.completionTokens - 1;
    const tokenGapMs = gaps > 0 ? (totalMs - firstTokenMs) / gaps : undefined;
    versionStats.recordOutcome({ model, version, failed: false, firstTokenMs, tokenGapMs });
    this.latencies.record(model, version, totalMs);
    metrics.firstTokenSeconds.observe(
      { workspace: call.workspace.name, class: call.requestClass },
      answer.value.firstTokenMs / MS_PER_SECOND,
    );
    return answer;
  }

  private chooseStartRung(prepared: PreparedChat, streaming: boolean): number {
    const request = this.createCascadeRequest(prepared, streaming);
    return request ? this.options.cascades.chooseStart(request).rung : 0;
  }

  /**
   * Returns the rung to escalate to, or undefined to deliver the answer. Rates every answer that may
   * be escalated and a sample of the others.
   */
  private async findNextRung(
    prepared: PreparedChat,
    rung: number,
    answer: RungAnswer,
    { escalated, streaming }: { escalated: boolean; streaming: boolean },
  ): Promise<number | undefined> {
    const { call, rungs } = prepared;
    const request = this.createCascadeRequest(prepared, streaming);
    if (!request || streaming || rung + 1 >= rungs.length) {
      this.options.rater.rateSample(call, answer, escalated);
      return undefined;
    }
    const rating = await this.options.rater.rate(call, answer, escalated);
    const remainingMs = call.deadlineMs - this.options.clock.monotonicMs();
    const escalate = this.options.cascades.shouldEscalate({
      ...request,
      rung,
      rating,
      remainingMs,
    });
    return escalate ? rung + 1 : undefined;
  }

  /** Returns undefined when the request names a model instead of a cascade. */
  private createCascadeRequest(
    prepared: PreparedChat,
    streaming: boolean,
  ): CascadeRequest | undefined {
    const { call, target, rungs } = prepared;
    if (!target.cascade) return undefined;
    return {
      workspace: call.workspace.name,
      requestClass: call.requestClass,
      cascade: target.cascade,
      rungs: rungs.map((resolved) => this.createRungInfo(call, resolved)),
      deadlineMs: call.deadlineMs - this.options.clock.monotonicMs(),
      streaming,
    };
  }

  private createRungInfo(call: ChatCall, { model, version }: ResolvedVersion): RungInfo {
    const usage = {
      promptTokens: call.promptTokens,
      completionTokens: call.expectedTokens,
    };
    return {
      model: model.name,
      version: version.version,
      expectedCost: computeCostMicros(version, usage),
      expectedLatencyMs: this.latencies.getMean(model.name, version.version),
    };
  }

  /** Stores the bill before it sends the last bytes, so that every complete answer has a bill. */
  private async deliver(
    call: ChatCall,
    answer: RungAnswer,
    steps: BillStep[],
    sink: AnswerSink,
  ): Promise<Result<number, Failure>> {
    const { billing, metrics, clock } = this.options;
    const sum = sumSteps(steps);
    const billed = await billing.record({
      workspace: call.workspace.name,
      requestId: call.requestId,
      model: answer.resolved.model.name,
      version: answer.resolved.version.version,
      ...sum,
      finishedAtMs: clock.wallMs(),
      steps,
    });
    if (billed.isErr()) {
      return err(
        createFailure('answer_incomplete', `the bill is not durable yet: ${billed.error.message}`),
      );
    }
    metrics.costMicros.inc(
      { workspace: call.workspace.name, class: call.requestClass },
      sum.costMicros,
    );
    await sink.finish({
      finishReason: answer.finishReason,
      usage: answer.usage,
      costMicros: sum.costMicros,
    });
    return ok(sum.promptTokens + sum.completionTokens);
  }
}

function createStep(answer: RungAnswer): BillStep {
  const { resolved, usage } = answer;
  return {
    model: resolved.model.name,
    version: resolved.version.version,
    promptTokens: usage.promptTokens,
    completionTokens: usage.completionTokens,
    costMicros: computeCostMicros(resolved.version, usage),
  };
}

/** Estimates the tokens to reserve from the quota before the request runs. */
function estimateTokens({ promptTokens, expectedTokens }: ChatCall): number {
  return promptTokens + expectedTokens;
}
