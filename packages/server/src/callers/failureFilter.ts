import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { BodyError } from './callerBodies.js';
import { sendFailure } from './authenticateRequest.js';

/** Failures for HTTP errors, by Fastify error code. */
const failureByErrorCode: Record<string, () => Failure> = {
  FST_ERR_CTP_BODY_TOO_LARGE: () =>
    createFailure('request_too_large', 'the request body is too large'),
  FST_ERR_BAD_URL: () =>
    createFailure('unknown_route', 'the path contains a malformed percent escape'),
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: () =>
    createFailure('malformed_request', 'the body length does not match the Content-Length header'),
};

const failureByStatus: Record<number, () => Failure> = {
  404: () => createFailure('unknown_route', 'the path does not exist'),
  413: () => createFailure('request_too_large', 'the request body is too large'),
};

const HTTP_SERVER_ERROR = 500;

/** Maps an error of the HTTP layer to a failure with a result code. */
export function describeError(error: unknown): Failure {
  if (error instanceof BodyError) return error.failure;
  const { code, statusCode } = error as { code?: string; statusCode?: number };
  const status = error instanceof HttpException ? error.getStatus() : statusCode;
  const create = failureByErrorCode[code ?? ''] ?? failureByStatus[status ?? 0];
  if (create) return create();
  if (status !== undefined && status < HTTP_SERVER_ERROR) {
    return createFailure('malformed_request', 'the request is malformed');
  }
  return createFailure('internal', 'the request failed because of an internal error');
}

/** Answers errors outside the handlers with a result code and without a stack trace. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  constructor(private readonly onError: (error: unknown) => void) {}

  catch(error: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const failure = describeError(error);
    if (failure.name === 'internal') this.onError(error);
    if (reply.raw.headersSent) reply.raw.destroy();
    else sendFailure(reply, failure);
  }
}
