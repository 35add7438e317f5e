import { createFailure } from '@cactusstair/protocol';
import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';

import type { CallerContext } from './callerContext.js';
import { CALLER_CONTEXT } from './callerContext.js';
import { callerHeaderNames } from './callerHeaders.js';
import { authenticateRequest, sendFailure } from './authenticateRequest.js';

const SERVICE_URL = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

const METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'];
/** A percent-encoded slash, backslash or NUL, also if encoded several times, or a raw backslash or NUL. */
const ENCODED_SEPARATOR = /%(?:25)*(?:2f|5c|00)|[\\\0]/i;
const ESCAPED_DOT = /%(?:25)*2e/gi;

/**
 * Checks that every parser sees the same path segments. An upstream that decodes escapes or resolves
 * dot segments could otherwise run a different path than the one checked here.
 */
function isUnambiguousPath(path: string): boolean {
  if (ENCODED_SEPARATOR.test(path)) return false;
  return !path
    .replace(ESCAPED_DOT, '.')
    .split('/')
    .some((segment) => segment === '.' || segment === '..');
}

/** Controller that forwards requests to plain services by path. */
@Controller('services')
export class ServiceController {
  constructor(@Inject(CALLER_CONTEXT) private readonly context: CallerContext) {}

  @All('*')
  async forward(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const authenticated = authenticateRequest(this.context, request, reply);
    if (authenticated.isErr()) {
      sendFailure(reply, authenticated.error);
      return;
    }
    const { requestId } = authenticated.value.headers;
    const [, service = '', path = '/', query = ''] = SERVICE_URL.exec(request.url) ?? [];
    if (!METHODS.includes(request.method) || !isUnambiguousPath(path)) {
      const failure = createFailure('unknown_route', 'the method or the path is not supported');
      sendFailure(reply, failure, requestId);
      return;
    }
    const result = await this.context.services.handle({
      ...authenticated.value,
      service,
      method: request.method,
      path: `${path}${query}`,
      contentType: request.headers['content-type'],
      body: Buffer.isBuffer(request.body) ? request.body : undefined,
    });
    if (result.isErr()) {
      sendFailure(reply, result.error, requestId);
      return;
    }
    const { status, contentType, body, replayed } = result.value;
    reply
      .code(status)
      .header(callerHeaderNames.requestId, requestId)
      .header('content-type', contentType);
    if (replayed) reply.header(callerHeaderNames.replayed, 'true');
    reply.send(body);
  }
}
