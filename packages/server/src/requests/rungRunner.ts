import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { CrashAttribution, CrashQuarantine, Permit, RetryBudget } from '@cactusstair/routing';
import { MIN_PROGRESS_TOKENS } from '@cactusstair/routing';
import type { Clock, Invariants } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { RequestClass } from '../callers/chatBody.js';
import type { EntryMetrics } from '../monitoring/entryMetrics.js';
import type { EngineClient } from '../upstreams/engineClient.js';
import type { UpstreamCallError } from '../upstreams/upstreamCallError.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { ModelPool, UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { ResolvedVersion, VersionResolver } from '../workspaces/versionResolver.js';
import type { ChatCall, RungAnswer } from './chatCall.js';

/** Options of `RungRunner`. Times are in milliseconds. */
export interface RungRunnerOptions {
  directory: UpstreamDirectory;
  resolver: VersionResolver;
  engines: EngineClient;
  quarantine: CrashQuarantine;
  crashes: CrashAttribution;
  retryBudget: RetryBudget;
  metrics: EntryMetrics;
  invariants: Invariants;
  clock: Clock;
  firstTokenMs: number;
  interTokenMs: number;
  queueMs: Record<RequestClass, number>;
}

type TokenListener = (text: string) => Promise<void>;

/** Parts of an answer received so far, over all attempts. */
interface Progress {
  tokens: number;
  /** Largest number of tokens received in one attempt. */
  maxAttemptTokens: number;
  text: string;
  startedAtMs: number;
  firstTokenAtMs: number | undefined;
  /** Time from the start of the current attempt to its first token. */
  attemptFirstTokenMs: number | undefined;
}

const MAX_ATTEMPTS_PER_RUNG = 4;
const PRIORITY: Record<RequestClass, number> = { short: 1, long: 0 };
const RETRY_AFTER_MS = 1000;
const ISOLATION_POLL_INTERVAL_MS = 50;
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 320;
// A request that crashes engines often crashes every upstream of its pool in turn, so a retry may
// have to wait until one has restarted.
const MAX_RESTART_WAIT_MS = 15_000;
const MS_PER_SECOND = 1000;

/** Runs a request on one model version and retries within the retry budget. */
export class RungRunner {
  constructor(private readonly options: RungRunnerOptions) {}

  async run(
    call: ChatCall,
    resolved: ResolvedVersion,
    onToken: TokenListener,
  ): Promise<Result<RungAnswer, Failure>> {
    const pool = this.options.directory.getModelPool(resolved.model.name, resolved.version.version);
    const admitted = await this.admit(call, pool);
    if (admitted.isErr()) return err(admitted.error);
    try {
      return await this.runAttempts(call, resolved, pool, onToken);
    } finally {
      admitted.value.release();
    }
  }

  private admit(call: ChatCall, pool: ModelPool): Promise<Result<Permit, Failure>> {
    const { clock, queueMs } = this.options;
    return pool.admission.acquire({
      workspace: call.workspace.name,
      weight: call.workspace.weight || 1,
      requestClass: call.requestClass,
      cost: call.expectedTokens,
      deadlineMs: Math.min(queueMs[call.requestClass], call.deadlineMs - clock.monotonicMs()),
      signal: call.signal,
    });
  }

  private async runAttempts(
    call: ChatCall,
    resolved: ResolvedVersion,
    pool: ModelPool,
    onToken: TokenListener,
  ): Promise<Result<RungAnswer, Failure>> {
    const progress: Progress = {
      tokens: 0,
      maxAttemptTokens: 0,
      text: '',
      startedAtMs: this.options.clock.monotonicMs(),
      firstTokenAtMs: undefined,
      attemptFirstTokenMs: undefined,
    };
    const exclude = new Set<string>();
    const waitForUpstream = this.createUpstreamWait(call);
    let lastFailure: UpstreamCallError | undefined;
    let endReason = `${MAX_ATTEMPTS_PER_RUNG} attempts failed`;
    let needsBudget = false;
    this.options.retryBudget.recordRequest();
    for (let failedAttempts = 0; failedAttempts < MAX_ATTEMPTS_PER_RUNG;) {
      if (needsBudget && !this.canRetry(call)) {
        endReason = 'the retry budget is exhausted';
        break;
      }
      needsBudget = false;
      const upstream = await this.chooseUpstream(call, resolved, pool, exclude);
      // Checked after the selection, because a suspect may have waited long for isolation.
      const refusal = this.checkBeforeAttempt(call, resolved);
      if (refusal) return err(refusal);
      if (!upstream) {
        if (lastFailure && (await waitForUpstream())) continue;
        endReason = 'no upstream is available for another attempt';
        break;
      }
      const resumedFrom = progress.tokens;
      try {
        return ok(await this.runAttempt(call, resolved, upstream, progress, onToken));
      } catch (error) {
        lastFailure = error as UpstreamCallError;
        exclude.add(upstream.name);
        if (lastFailure.kind === 'aborted') {
          endReason = 'the caller disconnected or the request timed out';
          break;
        }
        // A refused connection causes no work on an upstream, and the engine may be restarting, so
        // it does not count as a failed attempt.
        if (lastFailure.kind === 'connect') {
          if (await waitForUpstream()) continue;
          endReason = 'no upstream accepts a connection';
          break;
        }
        const attemptTokens = progress.tokens - resumedFrom;
        progress.maxAttemptTokens = Math.max(progress.maxAttemptTokens, attemptTokens);
        // An attempt that made progress before a crash does not count as failed, because another
        // request may have caused the crash. The threshold is needed because a request that crashes
        // its engines may also produce one or two tokens per attempt.
        if (attemptTokens < MIN_PROGRESS_TOKENS || !call.wasInFlightAtCrash) failedAttempts += 1;
        needsBudget = true;
      }
    }
    return err(this.createFailure(call, resolved, pool, lastFailure, endReason));
  }

  /**
   * A request that was in flight during a crash is retried outside the budget: one crash fails more
   * requests at once than the budget allows, and isolation bounds their retries. The flag of the
   * call is used instead of the quarantine, which merges crashes of one upstream that follow each
   * other closely.
   */
  private canRetry(call: ChatCall): boolean {
    return call.wasInFlightAtCrash || this.options.retryBudget.tryTake();
  }

  /** Creates a function that waits with exponential backoff and returns false at its deadline. */
  private createUpstreamWait(call: ChatCall): () => Promise<boolean> {
    const { clock, queueMs } = this.options;
    let endsAtMs: number | undefined;
    let pauseMs = MIN_BACKOFF_MS;
    return async () => {
      const maxWaitMs = call.wasInFlightAtCrash ? MAX_RESTART_WAIT_MS : queueMs[call.requestClass];
      endsAtMs ??= Math.min(clock.monotonicMs() + maxWaitMs, call.deadlineMs);
      if (call.signal.aborted || clock.monotonicMs() >= endsAtMs) return false;
      await clock.sleep(pauseMs, call.signal);
      pauseMs = Math.min(pauseMs * 2, MAX_BACKOFF_MS);
      return true;
    };
  }

  /**
   * Returns a failure if the request is quarantined or its version is no longer allowed. Both may
   * change while the request is queued or between two attempts.
   */
  private checkBeforeAttempt(call: ChatCall, resolved: ResolvedVersion): Failure | undefined {
    const fullName = `${resolved.model.name}@${resolved.version.version}`;
    const isFirstOfTrial = call.isTrial && call.attempts === 0;
    if (!isFirstOfTrial && this.options.crashes.isQuarantined(call.traits)) {
      return call.dispatched
        ? createFailure('answer_incomplete', 'the request crashed the upstreams that ran it')
        : createFailure('request_quarantined', 'the request crashed the upstreams that ran it');
    }
    if (this.options.resolver.isStillAllowed(call.workspace.name, resolved)) return undefined;
    const message = `version ${fullName} no longer accepts new requests`;
    return createFailure(call.dispatched ? 'answer_incomplete' : 'model_not_allowed', message);
  }

  /** Selects an upstream. A crash suspect waits for an isolated one until its deadline. */
  private async chooseUpstream(
    call: ChatCall,
    resolved: ResolvedVersion,
    pool: ModelPool,
    exclude: Set<string>,
  ): Promise<Upstream | undefined> {
    const { quarantine, clock } = this.options;
    const exclusive = quarantine.classify(call.fingerprint) !== 'clear';
    const request = { prefixHashes: call.prefixHashes, exclude, exclusive };
    for (;;) {
      const upstream = pool.choose(request) ?? pool.choose({ ...request, exclude: new Set() });
      if (upstream || !exclusive) return upstream;
      if (call.signal.aborted || clock.monotonicMs() >= call.deadlineMs) return undefined;
      if (this.checkBeforeAttempt(call, resolved)) return undefined;
      await clock.sleep(ISOLATION_POLL_INTERVAL_MS, call.signal);
    }
  }

  private async runAttempt(
    call: ChatCall,
    resolved: ResolvedVersion,
    upstream: Upstream,
    progress: Progress,
    onToken: TokenListener,
  ): Promise<RungAnswer> {
    const { engines, quarantine, crashes, metrics } = this.options;
    this.assertAllowed(call, resolved);
    call.attempts += 1;
    const attempt = call.attempts;
    const release = upstream.startCall(quarantine.classify(call.fingerprint) !== 'clear');
    const resumedFrom = progress.tokens;
    const recordRunEnd = quarantine.recordStart(upstream.name, call.fingerprint, () =>
      Math.max(progress.maxAttemptTokens, progress.tokens - resumedFrom),
    );
    const run = crashes.startRun(upstream.name, call.traits, () => {});
    const listener: TokenListener = (text) => {
      if (progress.tokens - resumedFrom === MIN_PROGRESS_TOKENS) run.recordProgress();
      return onToken(text);
    };
    try {
      const answer = await this.readAnswer(call, resolved, upstream, progress, attempt, listener);
      call.dispatched = true;
      upstream.recordSuccess(progress.attemptFirstTokenMs ?? 0, call.requestClass);
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: 'success' });
      recordRunEnd('completed');
      run.recordProgress();
      return answer;
    } catch (error) {
      const failure = error as UpstreamCallError;
      // Only a failed connection proves that no byte was sent.
      call.dispatched ||= failure.dispatched ?? true;
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: failure.kind ?? 'internal' });
      if (failure.kind === 'aborted') await engines.cancel(upstream.link, call.requestId, attempt);
      else if (await upstream.recordFailure(failure)) call.wasInFlightAtCrash = true;
      throw error;
    } finally {
      // No effect after a complete answer. A failed call does not clear the request of suspicion.
      recordRunEnd('abandoned');
      run.end();
      release();
    }
  }

  private async readAnswer(
    call: ChatCall,
    resolved: ResolvedVersion,
    upstream: Upstream,
    progress: Progress,
    attempt: number,
    onToken: TokenListener,
  ): Promise<RungAnswer> {
    const { clock, engines, metrics, firstTokenMs, interTokenMs } = this.options;
    const labels = { workspace: call.workspace.name, class: call.requestClass };
    const startedAtMs = clock.monotonicMs();
    let lastTokenAtMs = startedAtMs;
    progress.attemptFirstTokenMs = undefined;
    const events = engines.streamChat(upstream.link, {
      requestId: call.requestId,
      attempt,
      model: resolved.model.name,
      version: resolved.version.version,
      body: call.body,
      priority: PRIORITY[call.requestClass],
      resumeFrom: progress.tokens,
      resumeText: progress.text,
      firstTokenTimeoutMs: firstTokenMs,
      interTokenTimeoutMs: interTokenMs,
      onNotice: (notice) => upstream.recordNotice(notice),
      signal: call.signal,
    });
    for await (const event of events) {
      if (event.type === 'done') {
        const nowMs = clock.monotonicMs();
        return {
          resolved,
          finishReason: event.finishReason,
          usage: {
            promptTokens: event.usage?.promptTokens ?? 0,
            completionTokens: progress.tokens,
          },
          quality: event.quality,
          firstTokenMs: (progress.firstTokenAtMs ?? nowMs) - progress.startedAtMs,
          totalMs: nowMs - progress.startedAtMs,
        };
      }
      const nowMs = clock.monotonicMs();
      progress.attemptFirstTokenMs ??= nowMs - startedAtMs;
      if (progress.firstTokenAtMs === undefined) progress.firstTokenAtMs = nowMs;
      else metrics.tokenGapSeconds.observe(labels, (nowMs - lastTokenAtMs) / MS_PER_SECOND);
      lastTokenAtMs = nowMs;
      progress.tokens += 1;
      progress.text += event.text;
      await onToken(event.text);
    }
    throw new Error('the engine client ended without a done event');
  }

  private assertAllowed(call: ChatCall, resolved: ResolvedVersion): void {
    const fullName = `${resolved.model.name}@${resolved.version.version}`;
    this.options.invariants.check(
      'dispatched_version_is_allowed',
      this.options.resolver.isStillAllowed(call.workspace.name, resolved),
      () => `request ${call.requestId} was about to run on ${fullName}`,
    );
  }

  private createFailure(
    call: ChatCall,
    resolved: ResolvedVersion,
    pool: ModelPool,
    lastFailure: UpstreamCallError | undefined,
    endReason: string,
  ): Failure {
    const fullName = `${resolved.model.name}@${resolved.version.version}`;
    if (call.dispatched) {
      const reason = lastFailure ? `${lastFailure.message}; ${endReason}` : endReason;
      return createFailure(
        'answer_incomplete',
        `the answer of ${fullName} is incomplete: ${reason}`,
      );
    }
    const retryAfterMs = pool.getRetryAfterMs(RETRY_AFTER_MS);
    return createFailure('no_upstream', `no upstream of ${fullName} is available`, retryAfterMs);
  }
}
