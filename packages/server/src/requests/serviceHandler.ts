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
  /** Path below the service with query string, starting with a slash. */
  path: string;
  contentType: string | undefined;
  body: Buffer | undefined;
  signal: AbortSignal;
}

/** An answer of a plain service, or one that was kept for a repeat. */
export interface ServiceReply {
  status: number;
  contentType: string;
  body: Buffer;
  /** Whether the answer is that of an earlier call with the same key. */
  replayed: boolean;
}

const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];
const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1000;
const SERVICE_CLASS = 'service';
const HTTP_SERVER_ERROR = 500;
/** Marks a kept answer as a failure of the router, so that repeats get its code and headers. */
const KEPT_FAILURE_TYPE = 'application/vnd.cactusstair.failure+json';

/** Serves calls to plain services; calls that must not be repeated run at most once. */
export class ServiceHandler {
  constructor(private readonly options: ServiceHandlerOptions) {}

  /** Returns the answer of the service or a numbered failure. */
  handle(request: ServiceRequest): Promise<Result<ServiceReply, Failure>> {
    const labels = { workspace: request.workspace.name, class: SERVICE_CLASS };
    return this.options.metrics.trackRequest(labels, () => this.serve(request));
  }

  private async serve(request: ServiceRequest): Promise<Result<ServiceReply, Failure>> {
    if (!request.workspace.allowedServices.includes(request.service)) {
      return err(createFailure('unknown_route', `there is no service ${request.service}`));
    }
    if (!this.options.billing.hasRoom()) {
      return err(createFailure('billing_unavailable', 'bills cannot be stored', RETRY_AFTER_MS));
    }
    const pool = this.options.directory.getServicePool(request.service);
    if (SAFE_METHODS.includes(request.method) || !pool.nonIdempotent) {
      return this.runRepeatable(request, pool);
    }
    const key = request.headers.idempotencyKey;
    if (key === undefined) {
      const message = `${request.method} to ${request.service} needs an Idempotency-Key`;
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
        return await this.bill(request, await this.send(request, upstream, attempt, false));
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
    return err(this.createNoUpstream(request.service));
  }

  /** Claims the key before any byte leaves, and never sends a claimed request again. */
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
      const message = 'the claim of the Idempotency-Key cannot be stored';
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
      return err(this.createNoUpstream(request.service));
    }
    try {
      const reply = await this.send(request, upstream, 1, true);
      const { status, contentType, body } = reply;
      this.keepAnswer(claim, { status, contentType, body });
      return await this.bill(request, reply);
    } catch (error) {
      const failure = error as UpstreamCallError;
      if (!failure.dispatched) {
        await this.options.claims.release(claim);
        return err(this.createNoUpstream(request.service));
      }
      const unknown = createFailure(
        'outcome_unknown',
        `${request.service} did not answer and the call is not repeated: ${failure.message}`,
      );
      this.keepAnswer(claim, createKeptFailure(unknown));
      return err(unknown);
    }
  }

  /**
   * Stores the outcome of a claim. The caller does not wait: outcomes share an update that may be
   * up to 500 ms away, and until then a repeat is answered from this instance's memory.
   */
  private keepAnswer(claim: Claim, answer: KeptAnswer): void {
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
      const message = 'the first attempt was not run; send the request again';
      return err(createFailure('claim_unavailable', message, RETRY_AFTER_MS));
    }
    if (reply?.outcome === ClaimOutcome.RUNNING) {
      return err(createFailure('still_running', 'the first attempt still runs', RETRY_AFTER_MS));
    }
    return err(
      createFailure('outcome_unknown', `the instance ${owner} that ran the request is lost`),
    );
  }

  /** @throws LinkFailure */
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
      if (answer.leaving) upstream.markLeaving();
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

  /** Bills an answered call; the price of plain services is zero, the count matters. */
  private async bill(
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
        createFailure('answer_incomplete', `the bill is not safe: ${billed.error.message}`),
      );
    }
    return ok(reply);
  }

  private createNoUpstream(service: string): Failure {
    return createFailure('no_upstream', `no upstream of ${service} is available`, RETRY_AFTER_MS);
  }
}

/** Identifies the request of a key, so that a key that comes with another request is noticed. */
function digestRequest(request: ServiceRequest): string {
  return createHash('sha256')
    .update(`${request.service}\n${request.method}\n${request.path}\n`)
    .update(request.body ?? '')
    .digest('base64url');
}

function createReplay(answer: KeptAnswer | undefined): Result<ServiceReply, Failure> {
  if (!answer) return err(createFailure('answer_not_kept', 'the request ran once'));
  if (answer.contentType === KEPT_FAILURE_TYPE) return err(readKeptFailure(answer));
  return ok({
    status: answer.status,
    contentType: answer.contentType,
    body: Buffer.from(answer.body),
    replayed: true,
  });
}

/** A failure in the form in which it is kept for repeats. */
function createKeptFailure(failure: Failure): KeptAnswer {
  return {
    status: getResultCode(failure).httpStatus,
    contentType: KEPT_FAILURE_TYPE,
    body: Buffer.from(JSON.stringify(failure)),
  };
}

function readKeptFailure(answer: KeptAnswer): Failure {
  const { name, message } = JSON.parse(Buffer.from(answer.body).toString('utf8')) as Failure;
  // An instance of a newer release may have kept a failure that this one does not know.
  return Object.hasOwn(resultCodes, name)
    ? createFailure(name, message)
    : createFailure('outcome_unknown', message);
}
