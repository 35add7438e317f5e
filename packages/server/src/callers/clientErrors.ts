import type { IncomingMessage, ServerResponse } from 'node:http';
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';

import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { FastifyReply, FastifyRequest } from 'fastify';

import { createFailureAnswer } from './failureAnswer.js';
import { sendFailure } from './authenticateRequest.js';

/** Failures for HTTP parser errors, by Node.js error code. */
const failureByErrorCode: Record<string, () => Failure> = {
  HPE_HEADER_OVERFLOW: () => createFailure('request_too_large', 'the headers are too large'),
  ERR_HTTP_REQUEST_TIMEOUT: () =>
    createFailure('malformed_request', 'the request did not arrive in time'),
};

function createParseFailure(): Failure {
  return createFailure('malformed_request', 'the bytes are not a valid HTTP request');
}

/** Methods whose handlers start only after the whole body has been received. */
const BODY_METHODS: readonly string[] = ['POST', 'PUT', 'PATCH'];

function mayHaveRun({ req, headersSent }: ServerResponse): boolean {
  return headersSent || req.complete || !BODY_METHODS.includes(req.method ?? '');
}

/**
 * Answers a request that could not be parsed, and closes the connection.
 *
 * If an earlier request on the connection is still open and may have run, the connection is closed
 * without an answer, because the caller would attribute the answer to the earlier request.
 */
export function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  const { _httpMessage: open } = socket as Socket & { _httpMessage?: ServerResponse | null };
  if (error.code === 'ECONNRESET' || !socket.writable || (open && mayHaveRun(open))) {
    socket.destroy();
    return;
  }
  const create = failureByErrorCode[error.code ?? ''] ?? createParseFailure;
  const { status, headers, body } = createFailureAnswer(create());
  const text = JSON.stringify(body);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${text}`);
  socket.destroySoon();
}

/** Refuses a request whose `Expect` header Node.js does not support. */
export function answerExpectation(_request: IncomingMessage, response: ServerResponse): void {
  const failure = createFailure('header_invalid', 'the Expect header is not supported');
  const { status, headers, body } = createFailureAnswer(failure);
  response.writeHead(status, { ...headers, 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Refuses an HTTP/1.1 request without the required `Host` header. */
export function checkHost(request: FastifyRequest, reply: FastifyReply, done: () => void): void {
  if (request.headers.host !== undefined || request.raw.httpVersion === '1.0') {
    done();
    return;
  }
  reply.header('connection', 'close');
  sendFailure(reply, createFailure('malformed_request', 'the Host header is missing'));
}
