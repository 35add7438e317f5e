import { createHash } from 'node:crypto';

import type { BillingJournal, Claim, ClaimJournal } from '@cactusstair/coordination';
import type { Failure, KeptAnswer, Workspace } from '@cactusstair/protocol';
import { ClaimOutcome, createFailure, getResultCode, resultCodes } from '@cactusstair/protocol';
import type { RetryBudget } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { CallerHeaders } from '../callers/callerHeaders.js';
import type { EntryMetrics } from '../monitoring/entryMetrics.js';
import type { PeerClients } from '../peers/peerClients.js';
import type { UpstreamCallError } from '../upstreams/upstreamCallError.js';
import type { ServiceClient } from '../upstreams/serviceClient.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { ServicePool, UpstreamDirectory } from '../upstreams/upstreamDirectory.js';

/** Options of `ServiceHandler`. Times are in milliseconds. */
export interface ServiceHandlerOptions {
  directory: UpstreamDirectory;
  services: ServiceClient;
  claims: ClaimJournal;
  peers: PeerClients;
  billing: BillingJournal;
  retryBudget: RetryBudget;
  metrics: EntryMetrics;
  clock: Clock;
  answerMs: number;
}

/** A call to a plain service by an authenticated caller. */
export interface ServiceRequest {
  workspace: Workspace;
  headers: CallerHeaders;
  service: string;
  method: string;
  /** Path relative to the service, with the query string; starts with a slash. */
  path: string;
  contentType: string | undefined;
  body: Buffer | undefined;
  signal: AbortSignal;
}

/** The response of a plain service, or the stored response of an earlier call with the same key. */
export interface ServiceReply {
  status: number;
  contentType: string;
  body: Buffer;
  /** Whether this is the stored response of an earlier call. */
  replayed: boolean;
}

const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];
const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1000;
const SERVICE_CLASS = 'service';
const HTTP_SERVER_ERROR = 500;
/** Content type of a stored router failure, so that repeats get the same code and headers. */
const KEPT_FAILURE_TYPE = 'application/vnd.cactusstair.failure+json';

/** Serves calls to plain services. Non-idempotent calls run at most once. */
export class ServiceHandler {
  constructor(private readonly options: ServiceHandlerOptions) {}

  /** Returns the response of the service or a failure with its result code. */
  handle(request: ServiceRequest): Promise<Result<ServiceReply, Failure>> {
    const labels = { workspace: request.workspace.name, class: SERVICE_CLASS };
    return this.options.metrics.trackRequest(labels, () => this.serve(request));
  }

  private async serve(request: ServiceRequest): Promise<Result<ServiceReply, Failure>> {
    if (!request.workspace.allowedServices.includes(request.service)) {
      return err(createFailure('unknown_route', `there is no service ${request.service}`));
    }
    if (!this.options.billing.hasRoom()) {
      return err(
        createFailure(
          'billing_unavailable',
          'too many bills are waiting to be stored',
          RETRY_AFTER_MS,
        ),
      );
    }
    const pool = this.options.directory.getServicePool(request.service);
    if (SAFE_METHODS.includes(request.method) || !pool.nonIdempotent) {
      return this.runRepeatable(request, pool);
    }
    const key = request.headers.idempotencyKey;
    if (key === undefined) {
      const message = `${request.method} requests to ${request.service} require an Idempotency-Key header`;
      return err(createFailure('key_missing', message));
    }
    return this.runOnce(request, pool, key);
  }

  private async runRepeatable(
    request: ServiceRequest,
    pool: ServicePool,
  ): Promise<Result<ServiceReply, Failure>> {
    const exclude = new Set<string>();
    let lastFailure: UpstreamCallError | undefined;
    let dispatched = false;
    this.options.retryBudget.recordRequest();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      if (attempt > 1 && !this.options.retryBudget.tryTake()) break;
      const upstream = pool.choose(exclude) ?? pool.choose(new Set());
      if (!upstream) break;
      try {
        return await this.recordBill(request, await this.send(request, upstream, attempt, false));
      } catch (error) {
        lastFailure = error as UpstreamCallError;
        dispatched ||= lastFailure.dispatched;
        exclude.add(upstream.name);
        if (lastFailure.kind === 'aborted') break;
      }
    }
    if (dispatched) {
      const message = `${request.service} did not answer: ${lastFailure?.message ?? ''}`;
      return err(createFailure('answer_incomplete', message));
    }
    return err(this.createNoUpstreamFailure(request.service, pool));
  }

  /** Claims the key before any byte is sent, and never sends a claimed request twice. */
  private async runOnce(
    request: ServiceRequest,
    pool: ServicePool,
    key: string,
  ): Promise<Result<ServiceReply, Failure>> {
    const decision = await this.options.claims.claim(
      request.workspace.name,
      key,
      digestRequest(request),
    );
    if (decision.isErr()) {
      const message = 'the claim of the Idempotency-Key could not be stored';
      return err(createFailure('claim_unavailable', message, RETRY_AFTER_MS));
    }
    switch (decision.value.type) {
      case 'granted':
        return this.runClaimed(request, pool, decision.value.claim);
      case 'done':
        return createReplay(decision.value.answer);
      case 'owned':
        return this.awaitOwner(request, key, decision.value.owner);
      default:
        return err(createFailure('key_reused', 'the Idempotency-Key was used for another request'));
    }
  }

  private async runClaimed(
    request: ServiceRequest,
    pool: ServicePool,
    claim: Claim,
  ): Promise<Result<ServiceReply, Failure>> {
    const upstream = pool.choose(new Set());
    if (!upstream) {
      await this.options.claims.release(claim);
      return err(this.createNoUpstreamFailure(request.service, pool));
    }
    try {
      const reply = await this.send(request, upstream, 1, true);
      const { status, contentType, body } = reply;
      this.storeAnswer(claim, { status, contentType, body });
      return await this.recordBill(request, reply);
    } catch (error) {
      const failure = error as UpstreamCallError;
      if (!failure.dispatched) {
        await this.options.claims.release(claim);
        return err(this.createNoUpstreamFailure(request.service, pool));
      }
      const unknown = createFailure(
        'outcome_unknown',
        `${request.service} did not answer and the call is not repeated: ${failure.message}`,
      );
      this.storeAnswer(claim, createKeptFailure(unknown));
      return err(unknown);
    }
  }

  /**
   * Stores the outcome of a claim in the background. Outcomes are written in batches at intervals of
   * up to 500 ms; until then, this instance answers repeats from memory.
   */
  private storeAnswer(claim: Claim, answer: KeptAnswer): void {
    this.options.claims.complete(claim, answer).catch(() => {});
  }

  private async awaitOwner(
    request: ServiceRequest,
    key: string,
    owner: string,
  ): Promise<Result<ServiceReply, Failure>> {
    const { peers, answerMs } = this.options;
    const workspace = request.workspace.name;
    const reply = await peers.awaitClaim(owner, { workspace, key, waitMs: answerMs });
    if (reply?.outcome === ClaimOutcome.DONE) return createReplay(reply.answer);
    if (reply?.outcome === ClaimOutcome.RELEASED) {
      const message = 'the first attempt did not run; send the request again';
      return err(createFailure('claim_unavailable', message, RETRY_AFTER_MS));
    }
    if (reply?.outcome === ClaimOutcome.RUNNING) {
      return err(
        createFailure('still_running', 'the first attempt is still running', RETRY_AFTER_MS),
      );
    }
    return err(
      createFailure(
        'outcome_unknown',
        `instance ${owner}, which ran the request, did not report its outcome`,
      ),
    );
  }

  /** @throws UpstreamCallError */
  private async send(
    request: ServiceRequest,
    upstream: Upstream,
    attempt: number,
    newConnection: boolean,
  ): Promise<ServiceReply> {
    const { services, clock, metrics, answerMs } = this.options;
    const release = upstream.startCall(false);
    const startedAtMs = clock.monotonicMs();
    const headers: Record<string, string> = {};
    if (request.contentType !== undefined) headers['content-type'] = request.contentType;
    if (request.headers.idempotencyKey !== undefined) {
      headers['idempotency-key'] = request.headers.idempotencyKey;
    }
    try {
      const answer = await services.send(upstream.link, {
        requestId: request.headers.requestId,
        attempt,
        method: request.method,
        path: request.path,
        headers,
        body: request.body,
        answerTimeoutMs: answerMs,
        signal: request.signal,
        newConnection,
      });
      upstream.recordNotice(answer.notice);
      upstream.recordSuccess(clock.monotonicMs() - startedAtMs);
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: 'success' });
      const { status, contentType, body } = answer;
      return { status, contentType, body, replayed: false };
    } catch (error) {
      const failure = error as UpstreamCallError;
      metrics.upstreamCalls.inc({ upstream: upstream.name, outcome: failure.kind });
      if (failure.kind !== 'aborted') await upstream.recordFailure(failure);
      throw failure;
    } finally {
      release();
    }
  }

  /** Records a bill for a completed call. Plain services cost nothing; the bill counts the call. */
  private async recordBill(
    request: ServiceRequest,
    reply: ServiceReply,
  ): Promise<Result<ServiceReply, Failure>> {
    if (reply.status >= HTTP_SERVER_ERROR) return ok(reply);
    const billed = await this.options.billing.record({
      workspace: request.workspace.name,
      requestId: request.headers.requestId,
      model: `service:${request.service}`,
      version: '',
      promptTokens: 0,
      completionTokens: 0,
      costMicros: 0,
      finishedAtMs: this.options.clock.wallMs(),
      steps: [],
    });
    if (billed.isErr()) {
      return err(
        createFailure('answer_incomplete', `the bill is not durable yet: ${billed.error.message}`),
      );
    }
    return ok(reply);
  }

  private createNoUpstreamFailure(service: string, pool: ServicePool): Failure {
    const retryAfterMs = pool.getRetryAfterMs(RETRY_AFTER_MS);
    return createFailure('no_upstream', `no upstream of ${service} is available`, retryAfterMs);
  }
}

/** Hashes the request, so that reuse of its key for a different request is detected. */
function digestRequest(request: ServiceRequest): string {
  return createHash('sha256')
    .update(`${request.service}\n${request.method}\n${request.path}\n`)
    .update(request.body ?? '')
    .digest('base64url');
}

function createReplay(answer: KeptAnswer | undefined): Result<ServiceReply, Failure> {
  if (!answer)
    return err(
      createFailure(
        'answer_not_kept',
        'the request ran once, but its answer was too large to store',
      ),
    );
  if (answer.contentType === KEPT_FAILURE_TYPE) return err(readKeptFailure(answer));
  return ok({
    status: answer.status,
    contentType: answer.contentType,
    body: Buffer.from(answer.body),
    replayed: true,
  });
}

/** Encodes a failure as the stored answer for repeats. */
function createKeptFailure(failure: Failure): KeptAnswer {
  return {
    status: getResultCode(failure).httpStatus,
    contentType: KEPT_FAILURE_TYPE,
    body: Buffer.from(JSON.stringify(failure)),
  };
}

function readKeptFailure(answer: KeptAnswer): Failure {
  const { name, message } = JSON.parse(Buffer.from(answer.body).toString('utf8')) as Failure;
  // An instance of a newer release may have stored a failure name that this release lacks.
  return Object.hasOwn(resultCodes, name)
    ? createFailure(name, message)
    : createFailure('outcome_unknown', message);
}
