import type { Failure, Workspace } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { CrashQuarantine, Permit, RetryBudget } from '@cactusstair/routing';
import { MIN_PROGRESS_TOKENS } from '@cactusstair/routing';
import type { Clock, Invariants } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ChatBody, RequestClass } from '../callers/chatBody.js';
import type { EntryMetrics } from '../monitoring/entryMetrics.js';
import type { EngineClient, Usage } from '../upstreams/engineClient.js';
import type { UpstreamCallError } from '../upstreams/upstreamCallError.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { ModelPool, UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { ResolvedVersion, VersionResolver } from '../workspaces/versionResolver.js';

/** A request as far as the rungs of a cascade need it. */
export interface ChatCall {
  requestId: string;
  workspace: Workspace;
  body: ChatBody;
  requestClass: RequestClass;
  /** Estimated tokens of the prompt and of the answer. */
  promptTokens: number;
  expectedTokens: number;
  /** Cumulative hashes of the prompt's blocks, for prefix-cache affinity. */
  prefixHashes: string[];
  /** Identifies the request in the crash quarantine, whoever sends it. */
  fingerprint: string;
  /** Monotonic time by which the answer has to be whole. */
  deadlineMs: number;
  signal: AbortSignal;
  /** Whether bytes of the request may have reached an upstream. */
  dispatched: boolean;
  /** Whether the request was in flight at a crash of its upstream. */
  sawCrash: boolean;
  /** Calls to upstreams so far, over all rungs. */
  attempts: number;
}

/** The whole answer of one rung. */
export interface RungAnswer {
  resolved: ResolvedVersion;
  finishReason: string;
  usage: Usage;
  quality: number | undefined;
  firstTokenMs: number;
  /** Time from the first attempt to the end of the answer. */
  totalMs: number;
}

/** Options of `RungRunner`. Times are in milliseconds. */
export interface RungRunnerOptions {
  directory: UpstreamDirectory;
  resolver: VersionResolver;
  engines: EngineClient;
  quarantine: CrashQuarantine;
  retryBudget: RetryBudget;
  metrics: EntryMetrics;
  invariants: Invariants;
  clock: Clock;
  firstTokenMs: number;
  interTokenMs: number;
  queueMs: Record<RequestClass, number>;
}

type TokenListener = (text: string) => Promise<void>;

/** What has arrived of an answer over all attempts. */
interface Progress {
  tokens: number;
  /** Most tokens that one attempt brought. */
  longestRunTokens: number;
  text: string;
  startedAtMs: number;
  firstTokenAtMs: number | undefined;
  /** Time from the start of the current attempt to its first token. */
  attemptFirstTokenMs: number | undefined;
}

const MAX_ATTEMPTS_PER_RUNG = 4;
const PRIORITY: Record<RequestClass, number> = { short: 1, long: 0 };
const RETRY_AFTER_MS = 1000;
const EXCLUSIVE_POLL_MS = 50;
const FIRST_PAUSE_MS = 10;
const LONGEST_PAUSE_MS = 320;
// A crashing request often takes down all upstreams of its pool, one after the other.
const RESTART_WAIT_MS = 15_000;
const MS_PER_SECOND = 1000;

/** Gets the answer of one model version, over as many attempts as the retry budget allows. */
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
      longestRunTokens: 0,
      text: '',
      startedAtMs: this.options.clock.monotonicMs(),
      firstTokenAtMs: undefined,
      attemptFirstTokenMs: undefined,
    };
    const exclude = new Set<string>();
    const wait = this.createUpstreamWait(call);
    let lastFailure: UpstreamCallError | undefined;
    let end = `${MAX_ATTEMPTS_PER_RUNG} attempts failed`;
    let needsBudget = false;
    this.options.retryBudget.recordRequest();
    for (let calls = 0; calls < MAX_ATTEMPTS_PER_RUNG;) {
      if (needsBudget && !this.canRetry(call)) {
        end = 'the retry budget is used up';
        break;
      }
      needsBudget = false;
      const upstream = await this.chooseUpstream(call, resolved, pool, exclude);
      // Checked after the choice, for which a suspect may have waited long.
      const refusal = this.checkBeforeAttempt(call, resolved);
      if (refusal) return err(refusal);
      if (!upstream) {
        if (lastFailure && (await wait())) continue;
        end = 'no upstream is available for another attempt';
        break;
      }
      const resumedFrom = progress.tokens;
      try {
        return ok(await this.runAttempt(call, resolved, upstream, progress, onToken));
      } catch (error) {
        lastFailure = error as UpstreamCallError;
        exclude.add(upstream.name);
        if (lastFailure.kind === 'aborted') {
          end = 'the caller went away or the time for the request is over';
          break;
        }
        // A refused connection costs no upstream any work; the engine may be restarting.
        if (lastFailure.kind === 'connect') {
          if (await wait()) continue;
          end = 'no upstream accepts a connection';
          break;
        }
        const broughtTokens = progress.tokens - resumedFrom;
        progress.longestRunTokens = Math.max(progress.longestRunTokens, broughtTokens);
        // An answer that goes on is not ended by crashes that another request causes. One that
        // crashes its engines itself also brings a token or two each time.
        if (broughtTokens < MIN_PROGRESS_TOKENS || !call.sawCrash) calls += 1;
        needsBudget = true;
      }
    }
    return err(this.createFailure(call, resolved, lastFailure, end));
  }

  /**
   * A request that was in flight at a crash is retried outside the budget: one crash fails more
   * requests at once than the budget holds, and isolation bounds their retries. The quarantine
   * does not tell: it merges crashes of one upstream that follow each other closely.
   */
  private canRetry(call: ChatCall): boolean {
    return call.sawCrash || this.options.retryBudget.tryTake();
  }

  /** Creates a function that pauses between tries; it returns false when no more is allowed. */
  private createUpstreamWait(call: ChatCall): () => Promise<boolean> {
    const { clock, queueMs } = this.options;
    let endsAtMs: number | undefined;
    let pauseMs = FIRST_PAUSE_MS;
    return async () => {
      const longestMs = call.sawCrash ? RESTART_WAIT_MS : queueMs[call.requestClass];
      endsAtMs ??= Math.min(clock.monotonicMs() + longestMs, call.deadlineMs);
      if (call.signal.aborted || clock.monotonicMs() >= endsAtMs) return false;
      await clock.sleep(pauseMs, call.signal);
      pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
      return true;
    };
  }

  /** Configuration may have changed while the request was queued or between two attempts. */
  private checkBeforeAttempt(call: ChatCall, resolved: ResolvedVersion): Failure | undefined {
    const fullName = `${resolved.model.name}@${resolved.version.version}`;
    if (this.options.quarantine.classify(call.fingerprint) === 'quarantined') {
      return call.dispatched
        ? createFailure('answer_incomplete', 'the request crashed the upstreams that ran it')
        : createFailure('request_quarantined', 'the request crashed the upstreams that ran it');
    }
    if (this.options.resolver.isStillAllowed(call.workspace.name, resolved)) return undefined;
    const message = `version ${fullName} may not be given new work any more`;
    return createFailure(call.dispatched ? 'answer_incomplete' : 'model_not_allowed', message);
  }

  /** A crash suspect runs alone; it waits for its turn as long as its deadline allows. */
  private async chooseUpstream(
    call: ChatCall,
    resolved: ResolvedVersion,
    pool: ModelPool,
    exclude: Set<string>,
  ): Promise<Upstream | undefined> {
    const { quarantine, clock } = this.options;
    const exclusive = quarantine.classify(call.fingerprint) === 'suspect';
    const request = { prefixHashes: call.prefixHashes, exclude, exclusive };
    for (;;) {
      const upstream = pool.choose(request) ?? pool.choose({ ...request, exclude: new Set() });
      if (upstream || !exclusive) return upstream;
      if (call.signal.aborted || clock.monotonicMs() >= call.deadlineMs) return undefined;
      if (this.checkBeforeAttempt(call, resolved)) return undefined;
      await clock.sleep(EXCLUSIVE_POLL_MS, call.signal);
    }
  }

  private async runAttempt(
    call: ChatCall,
    resolved: ResolvedVersion,
    upstream: Upstream,
    progress: Progress,
    onToken: TokenListener,
  ): Promise<RungAnswer> {
    const { engines, quarantine, metrics } = this.options;
    this.assertAllowed(call, resolved);
    call.attempts += 1;
    const attempt = call.attempts;
    const release = upstream.startCall(quarantine.classify(call.fingerprint) === 'suspect');
    const resumedFrom = progress.tokens;
    const endSuspicion = quarantine.recordStart(upstream.name, call.fingerprint, () =>
      Math.max(progress.longestRunTokens, progress.tokens - resumedFrom),
    );
    try {
      const answer = await this.readAnswer(call, resolved, upstream, progress, attempt, onToken);
      call.dispatched = true;
      upstream.recordSuccess(progress.attemptFirstTokenMs ?? 0, call.requestClass);
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: 'success' });
      endSuspicion('completed');
      return answer;
    } catch (error) {
      const failure = error as UpstreamCallError;
      // Only a connection that was not made is proof that no byte has left.
      call.dispatched ||= failure.dispatched ?? true;
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: failure.kind ?? 'internal' });
      if (failure.kind === 'aborted') await engines.cancel(upstream.link, call.requestId, attempt);
      else if (await upstream.recordFailure(failure)) call.sawCrash = true;
      throw error;
    } finally {
      // Without effect after a complete answer; a failed call proves nothing about the request.
      endSuspicion('abandoned');
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
    lastFailure: UpstreamCallError | undefined,
    end: string,
  ): Failure {
    const fullName = `${resolved.model.name}@${resolved.version.version}`;
    if (call.dispatched) {
      const reason = lastFailure ? `${lastFailure.message}; ${end}` : end;
      return createFailure('answer_incomplete', `the answer of ${fullName} broke off: ${reason}`);
    }
    return createFailure('no_upstream', `no upstream of ${fullName} is available`, RETRY_AFTER_MS);
  }
}
