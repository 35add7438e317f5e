import type { Failure, Workspace } from '@cactusstair/protocol';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { authenticateCaller } from '../workspaces/callerIdentity.js';
import type { CallerContext } from './callerContext.js';
import type { CallerHeaders } from './callerHeaders.js';
import { parseCallerHeaders } from './callerHeaders.js';
import { createFailureAnswer } from './failureAnswer.js';

/** A request with an authenticated caller and validated headers. */
export interface AuthenticatedRequest {
  workspace: Workspace;
  headers: CallerHeaders;
  /** Aborts when the caller disconnects before its answer is complete. */
  signal: AbortSignal;
}

/** Checks that the instance accepts requests, validates the headers and authenticates the caller. */
export function authenticateRequest(
  context: CallerContext,
  request: FastifyRequest,
  reply: FastifyReply,
): Result<AuthenticatedRequest, Failure> {
  const refusal = context.checkAdmission();
  if (refusal) return err(refusal);
  const headers = parseCallerHeaders(request.headers, request.raw.rawHeaders);
  if (headers.isErr()) return err(headers.error);
  const workspace = authenticateCaller(context.replica, request.headers.authorization);
  if (workspace.isErr()) return err(workspace.error);
  const disconnection = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) disconnection.abort();
  });
  return ok({ workspace: workspace.value, headers: headers.value, signal: disconnection.signal });
}

/** Sends a failure as the response. */
export function sendFailure(reply: FastifyReply, failure: Failure, requestId?: string): void {
  const answer = createFailureAnswer(failure, requestId);
  reply.code(answer.status).headers(answer.headers).send(answer.body);
}
