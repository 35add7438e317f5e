import type { Dispatcher } from 'undici';

import type { UpstreamNotice } from '@cactusstair/routing';

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
    const body = Buffer.from(await answer.body.arrayBuffer());
    return {
      status: answer.statusCode,
      contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
      notice: readNotice(answer.statusCode, answer.headers),
      body,
    };
  }
}
