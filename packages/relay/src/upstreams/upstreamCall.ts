import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { connect } from 'node:net';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Upstream } from './upstream.js';

/** Why a call ended without a whole answer. */
export type CallFailure =
  /** No byte of the request left this instance. */
  | { type: 'not_sent'; reason: string; isTimeout: boolean }
  /** The request may have run. */
  | { type: 'lost'; reason: string }
  /** This instance ended the call. */
  | { type: 'cancelled'; reason: string; isSent: boolean };

/** Options of `UpstreamCall`. */
export interface CallOptions {
  upstream: Upstream;
  method: string;
  /** Path and query, sent as they are. */
  path: string;
  /** Names and values in turn, sent as they are. */
  headers: string[];
  body: Buffer;
  /** Longest time until the connection is open, in milliseconds. */
  connectTimeoutMs: number;
  /** Called when the connection is open. */
  onConnect: () => void;
  /** Largest body that `readBody` accepts, in bytes. */
  maxBodyBytes: number;
}

/**
 * One request to an upstream on a connection of its own. A new connection costs a few milliseconds
 * at most, and on it no late, second or silent answer of an earlier request can be mistaken for
 * this one's.
 */
export class UpstreamCall {
  private readonly outgoing: ClientRequest;

  private readonly head: Promise<Result<IncomingMessage, CallFailure>>;

  private isSent = false;

  private cancelReason: string | undefined;

  private hasTimedOut = false;

  /** Whether the connection ended with an error. */
  private hasFailed = false;

  constructor(private readonly options: CallOptions) {
    const { upstream, method, path, headers } = options;
    this.outgoing = request({
      // Half-open, so that the connection still exists when its end is read.
      createConnection: () =>
        connect({ host: upstream.record.host, port: upstream.record.port, allowHalfOpen: true }),
      method,
      path,
      headers: headers as never,
      setHost: false,
    });
    this.head = this.waitHead();
    this.outgoing.end(options.body.length > 0 ? options.body : undefined);
  }

  /** Whether bytes of the request may have left. */
  get hasLeft(): boolean {
    return this.isSent;
  }

  /** Resolves with the head of the final answer. */
  readHead(): Promise<Result<IncomingMessage, CallFailure>> {
    return this.head;
  }

  /** Reads the rest of the answer; a body that is cut off or too long is a lost answer. */
  readBody(answer: IncomingMessage): Promise<Result<Buffer, CallFailure>> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      answer.on('data', (chunk: Buffer) => {
        this.options.upstream.recordProgress();
        size += chunk.length;
        chunks.push(chunk);
        if (size > this.options.maxBodyBytes) {
          resolve(err(this.describeLoss('the answer is too long')));
          this.outgoing.destroy();
        }
      });
      answer.on('error', (error) => resolve(err(this.describeLoss(error.message))));
      answer.on('close', () => resolve(err(this.describeLoss('the answer was cut off'))));
      answer.on('end', () => {
        if (this.isWhole(answer)) resolve(ok(Buffer.concat(chunks)));
        else resolve(err(this.describeLoss('the answer was cut off')));
      });
    });
  }

  /**
   * Whether an answer that ended is whole. Node.js takes an answer without a length for complete
   * also when its connection was reset.
   */
  isWhole(answer: IncomingMessage): boolean {
    return answer.complete && !this.hasFailed;
  }

  /** Ends the call; the upstream sees its connection close. */
  cancel(reason: string): void {
    this.cancelReason ??= reason;
    this.outgoing.destroy();
  }

  /** Says how a call that ended without an answer ended. */
  describeLoss(reason: string): CallFailure {
    if (this.cancelReason !== undefined) {
      return { type: 'cancelled', reason: this.cancelReason, isSent: this.isSent };
    }
    if (this.isSent) return { type: 'lost', reason };
    return { type: 'not_sent', reason, isTimeout: this.hasTimedOut };
  }

  private waitHead(): Promise<Result<IncomingMessage, CallFailure>> {
    const { upstream, connectTimeoutMs } = this.options;
    return new Promise((resolve) => {
      const handleTimeout = () => {
        if (this.isSent) return;
        this.hasTimedOut = true;
        this.outgoing.destroy(new Error(`no connection in ${connectTimeoutMs} ms`));
      };
      // Timers run before the sockets are read; a connection that opened while this process was
      // busy is noticed before the second look.
      const connectTimer = setTimeout(() => setImmediate(handleTimeout), connectTimeoutMs);
      this.outgoing.on('socket', (socket) => {
        socket.setNoDelay(true);
        // A reset right behind the last bytes is reported as an ordinary end by libuv. The address
        // of the other end can be asked for only while the connection is not reset; this has to come
        // before the HTTP client takes the end as that of the answer.
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
      this.outgoing.on('error', (error) => {
        clearTimeout(connectTimer);
        this.hasFailed = true;
        resolve(err(this.describeLoss(error.message)));
      });
      this.outgoing.on('close', () => {
        clearTimeout(connectTimer);
        resolve(err(this.describeLoss('the connection was closed')));
      });
      this.outgoing.on('response', (answer) => {
        upstream.recordProgress();
        resolve(ok(answer));
      });
    });
  }
}
