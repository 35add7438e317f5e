import type { Failure, Workspace } from '@cactusstair/protocol';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import { authenticateCaller } from '../workspaces/callerIdentity.js';
import type { CallerContext } from './callerContext.js';
import type { CallerHeaders } from './callerHeaders.js';
import { parseCallerHeaders } from './callerHeaders.js';
import { createFailureAnswer } from './failureAnswer.js';

/** A request whose caller and headers have been checked. */
export interface OpenedRequest {
  workspace: Workspace;
  headers: CallerHeaders;
  /** Aborts when the caller goes away before its answer is whole. */
  signal: AbortSignal;
}

/** Checks the state of the instance, the headers and the caller, in this order. */
export function openRequest(
  context: CallerContext,
  request: FastifyRequest,
  reply: FastifyReply,
): Result<OpenedRequest, Failure> {
  const refusal = context.checkAdmission();
  if (refusal) return err(refusal);
  const headers = parseCallerHeaders(request.headers, request.raw.rawHeaders);
  if (headers.isErr()) return err(headers.error);
  const workspace = authenticateCaller(context.replica, request.headers.authorization);
  if (workspace.isErr()) return err(workspace.error);
  const gone = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) gone.abort();
  });
  return ok({ workspace: workspace.value, headers: headers.value, signal: gone.signal });
}

/** Sends a failure as the whole answer. */
export function sendFailure(reply: FastifyReply, failure: Failure, requestId?: string): void {
  const answer = createFailureAnswer(failure, requestId);
  reply.code(answer.status).headers(answer.headers).send(answer.body);
}
