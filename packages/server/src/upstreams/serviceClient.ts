import type { Dispatcher } from 'undici';

import type { UpstreamNotice } from '@cactusstair/routing';
import { ByteCollector, describeInvalidStatus } from '@cactusstair/utils';

import type { Link } from './link.js';
import { classifyCallError, UpstreamCallError } from './upstreamCallError.js';
import { readNotice } from './upstreamNotice.js';

/** One call to a plain service. */
export interface ServiceCall {
  requestId: string;
  attempt: number;
  method: string;
  /** Path with query string, starting with a slash. */
  path: string;
  headers: Record<string, string>;
  body: Buffer | undefined;
  answerTimeoutMs: number;
  signal: AbortSignal;
  /** Whether to use a new connection. Set for calls that must not be repeated. */
  newConnection: boolean;
}

/** The answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  /** What the head of the answer says about the service. */
  notice: UpstreamNotice;
  body: Buffer;
}

/** Largest answer that is buffered before it is passed on, in bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Returns why an answer cannot be passed on, from its head; undefined if it can. */
function describeUnusable({ headers, statusCode }: Dispatcher.ResponseData): string | undefined {
  const invalid = describeInvalidStatus(statusCode);
  if (invalid !== undefined) return invalid;
  return Number(headers['content-length'] ?? 0) > MAX_ANSWER_BYTES
    ? 'the answer declares more than the size limit'
    : undefined;
}

/** @throws UpstreamCallError when the answer is unusable or longer than the limit */
async function readBody(answer: Dispatcher.ResponseData): Promise<Buffer> {
  const fail = (reason: string): never => {
    // Closes the connection, on which more bytes may follow.
    answer.body.on('error', () => {});
    answer.body.destroy();
    throw new UpstreamCallError('mismatch', reason, true);
  };
  const unusable = describeUnusable(answer);
  if (unusable !== undefined) return fail(unusable);
  const body = new ByteCollector(MAX_ANSWER_BYTES);
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    if (!body.append(chunk)) return fail('the answer exceeds the size limit');
  }
  return body.takeBuffer();
}

/** Calls plain services. */
export class ServiceClient {
  /** @throws UpstreamCallError when no complete answer arrives in time. */
  async send(link: Link, call: ServiceCall): Promise<ServiceAnswer> {
    try {
      if (call.newConnection) {
        return await link.withNewConnection((dispatcher) => this.exchange(dispatcher, call));
      }
      return await this.exchange(link.dispatcher, call);
    } catch (error) {
      throw classifyCallError(error);
    }
  }

  private async exchange(dispatcher: Dispatcher, call: ServiceCall): Promise<ServiceAnswer> {
    const answer = await dispatcher.request({
      method: call.method,
      path: call.path,
      headers: {
        ...call.headers,
        'x-request-id': call.requestId,
        'x-attempt': String(call.attempt),
      },
      body: call.body ?? null,
      headersTimeout: call.answerTimeoutMs,
      bodyTimeout: call.answerTimeoutMs,
      signal: call.signal,
    });
    const echoedId = answer.headers['x-request-id'] ?? call.requestId;
    if (echoedId !== call.requestId) {
      // Closes the connection, on which the answer to this call may still follow.
      answer.body.on('error', () => {});
      answer.body.destroy();
      throw new UpstreamCallError('mismatch', 'the answer belongs to another request', true);
    }
    const body = await readBody(answer);
    return {
      status: answer.statusCode,
      contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
      notice: readNotice(answer.statusCode, answer.headers),
      body,
    };
  }
}
