import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { describeInvalidAnswerHead } from '../messageHead.js';
import type { AnswerBody, BodyListener } from './answerBody.js';
import { readBoundedBody } from './answerBody.js';
import type { AnswerLease } from './answerMemory.js';
import type { Upstream } from './upstream.js';

/** Why a call ended without a complete answer. */
export type CallFailure =
  /** No byte of the request was sent. */
  | {
      type: 'not_sent';
      reason: string;
      isTimeout: boolean;
      /** Whether nothing listens at the upstream's address. */
      isRefused: boolean;
    }
  /** The request was sent without a usable answer; the upstream may have run it. */
  | {
      type: 'lost';
      reason: string;
      /** Whether the connection ended, as it does when the upstream crashes. */
      isDisconnected: boolean;
    }
  /** This instance cancelled the call. */
  | { type: 'cancelled'; reason: string; isSent: boolean };

/** Options of `UpstreamCall`. */
export interface CallOptions {
  upstream: Upstream;
  method: string;
  /** Path and query, sent unchanged. */
  path: string;
  /** Alternating names and values, sent unchanged. */
  headers: string[];
  body: Buffer;
  /** Timeout for opening the connection, in milliseconds. */
  connectTimeoutMs: number;
  /** Called when the connection is open. */
  onConnect: () => void;
  /** Memory for the body of the answer. */
  lease: AnswerLease;
}

/**
 * One request to an upstream on its own connection. Opening a connection takes a few milliseconds
 * at most, and no late, duplicate or missing answer to an earlier request can affect this one.
 */
export class UpstreamCall {
  /** Undefined if the request cannot be expressed in HTTP. */
  private readonly outgoing: ClientRequest | undefined;

  private readonly head: Promise<Result<IncomingMessage, CallFailure>>;

  private isSent = false;

  private cancelReason: string | undefined;

  private hasTimedOut = false;

  private isRefused = false;

  /** Whether the connection ended with an error. */
  private hasFailed = false;

  constructor(private readonly options: CallOptions) {
    try {
      this.outgoing = this.openRequest();
      this.head = this.waitForHead(this.outgoing);
      this.outgoing.end(options.body.length > 0 ? options.body : undefined);
    } catch (error) {
      this.head = Promise.resolve(err(this.createFailure((error as Error).message)));
    }
  }

  /** Whether bytes of the request may have been sent. */
  get wasSent(): boolean {
    return this.isSent;
  }

  /** Resolves with the head of the final answer. */
  readHead(): Promise<Result<IncomingMessage, CallFailure>> {
    return this.head;
  }

  /** Reads the body of the answer; one that is truncated or too long is a failure. */
  async readBody(
    answer: IncomingMessage,
    listener?: BodyListener,
  ): Promise<Result<AnswerBody, CallFailure>> {
    const { lease, upstream } = this.options;
    const end = await readBoundedBody(answer, lease, {
      onBytes: (count) => {
        upstream.recordProgress();
        listener?.onBytes(count);
      },
      onMemoryWait: () => listener?.onMemoryWait(),
      onMemoryGranted: () => listener?.onMemoryGranted(),
    });
    if (end.type === 'too_long') {
      this.outgoing?.destroy();
      return err(this.createFailure('the answer body exceeds the size limit'));
    }
    if (end.type === 'whole' && this.isWhole(answer)) return ok(end.body);
    return err(this.createDisconnect('the answer was cut off'));
  }

  /**
   * Whether an answer that ended is complete. Node.js reports an answer without a length as
   * complete even if its connection was reset.
   */
  isWhole(answer: IncomingMessage): boolean {
    return answer.complete && !this.hasFailed;
  }

  /** Cancels the call by closing its connection. */
  cancel(reason: string): void {
    this.cancelReason ??= reason;
    this.outgoing?.destroy();
  }

  /** Creates the failure of a call without a usable answer; a cancellation overrides `reason`. */
  createFailure(reason: string): CallFailure {
    if (this.cancelReason !== undefined) {
      return { type: 'cancelled', reason: this.cancelReason, isSent: this.isSent };
    }
    if (this.isSent) return { type: 'lost', reason, isDisconnected: false };
    const { hasTimedOut: isTimeout, isRefused } = this;
    return { type: 'not_sent', reason, isTimeout, isRefused };
  }

  /** Creates the failure of a call whose connection ended before its answer was complete. */
  createDisconnect(reason: string): CallFailure {
    const failure = this.createFailure(reason);
    return failure.type === 'lost' ? { ...failure, isDisconnected: true } : failure;
  }

  /** Checks that the head of an answer can be passed on; one that cannot is no answer. */
  private checkHead(answer: IncomingMessage): Result<IncomingMessage, CallFailure> {
    const invalid = describeInvalidAnswerHead(answer.statusCode ?? 0, answer.rawHeaders);
    if (invalid === undefined) return ok(answer);
    answer.on('error', () => {});
    this.outgoing?.destroy();
    return err(this.createFailure(`the head of the answer is invalid: ${invalid}`));
  }

  private openRequest(): ClientRequest {
    const { upstream, method, path, headers } = this.options;
    return request({
      // Half-open, so that the socket still exists when the end of the stream is read.
      createConnection: () =>
        connect({ host: upstream.record.host, port: upstream.record.port, allowHalfOpen: true }),
      method,
      path,
      headers: headers as never,
      setHost: false,
    });
  }

  private waitForHead(outgoing: ClientRequest): Promise<Result<IncomingMessage, CallFailure>> {
    const { upstream, connectTimeoutMs } = this.options;
    return new Promise((resolve) => {
      const handleTimeout = () => {
        if (this.isSent) return;
        this.hasTimedOut = true;
        outgoing.destroy(new Error(`no connection in ${connectTimeoutMs} ms`));
      };
      // Timers run before sockets are polled. The extra turn of the event loop detects a connection
      // that opened while this process was busy.
      const connectTimer = setTimeout(() => setImmediate(handleTimeout), connectTimeoutMs);
      outgoing.on('socket', (socket) => {
        socket.setNoDelay(true);
        // libuv reports a reset directly after the last bytes as an ordinary end of the stream. The
        // remote address is undefined only after a reset. The check must run before the HTTP client
        // treats the end of the stream as the end of the answer.
        socket.prependListener('end', () => {
          if (socket.remoteAddress === undefined) this.hasFailed = true;
        });
        socket.once('connect', () => {
          clearTimeout(connectTimer);
          this.isSent = true;
          upstream.recordProgress();
          this.options.onConnect();
        });
      });
      outgoing.on('error', (error) => {
        clearTimeout(connectTimer);
        this.hasFailed = true;
        this.isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
        resolve(err(this.createDisconnect(error.message)));
      });
      outgoing.on('close', () => {
        clearTimeout(connectTimer);
        resolve(err(this.createDisconnect('the connection was closed')));
      });
      outgoing.on('response', (answer) => {
        upstream.recordProgress();
        resolve(this.checkHead(answer));
      });
    });
  }
}
