import type { IncomingMessage, ServerResponse } from 'node:http';

import { resultCodes } from '@cactusstair/protocol';
import type { ResultCodeName } from '@cactusstair/protocol';

import type { Route, Workspace } from '../config/relayConfig.js';
import type { RelayRequest } from './relayRequest.js';

const MS_PER_SECOND = 1000;
/** Longer ids, which callers choose, are cut in the log. */
const MAX_LOGGED_ID_LENGTH = 128;

/** How a request ended, as counted and logged. */
export type ExchangeEnd = 'answered' | 'refused' | 'failed' | 'cancelled';

/** One step in the processing of a request, as logged. */
export interface ExchangeStep {
  atMs: number;
  step: string;
  [field: string]: unknown;
}

/** The model size chosen for a request, and when its answer was expected to be complete. */
export interface SizeExpectation {
  model: string;
  /** Time from the arrival of the request; undefined when no upstream had room. */
  completionMs?: number;
  /** Quantile of 0.9. */
  highCompletionMs?: number;
}

/** A caller's request with its deadline, its answer and the steps of its processing. */
export class Exchange {
  request: RelayRequest | undefined;

  route: Route | undefined;

  workspace: Workspace | undefined;

  /** HTTP status of the answer; 0 while none was sent. */
  status = 0;

  code: ResultCodeName | undefined;

  /** Time until the head of the answer was sent; undefined while none was sent. */
  firstByteMs: number | undefined;

  end: ExchangeEnd | undefined;

  /** Undefined when the system did not choose the size. */
  expectation: SizeExpectation | undefined;

  /** Whether an upstream may have run the request in an earlier attempt. */
  mayHaveRun = false;

  /** The attempt in progress; undefined between attempts. */
  attempt: { readonly wasSent: boolean } | undefined;

  readonly steps: ExchangeStep[] = [];

  private readonly cancelListeners = new Set<() => void>();

  private deadlineTimer: NodeJS.Timeout | undefined;

  private isCallerGone = false;

  constructor(
    readonly incoming: IncomingMessage,
    readonly outgoing: ServerResponse,
    /** Monotonic time at which the head of the request was read. */
    readonly arrivedMs: number,
    private readonly getNowMs: () => number,
  ) {
    outgoing.on('close', () => {
      clearTimeout(this.deadlineTimer);
      if (this.end !== undefined) return;
      this.isCallerGone = true;
      this.end = 'cancelled';
      this.notifyCancelled();
    });
  }

  /** Whether nothing more can be sent to the caller. */
  get isOver(): boolean {
    return this.end !== undefined || this.isCallerGone;
  }

  /** Monotonic time at which the final answer is due. */
  deadlineAtMs = Infinity;

  /** Time since the request arrived. */
  get elapsedMs(): number {
    return this.getNowMs() - this.arrivedMs;
  }

  get timeLeftMs(): number {
    return this.deadlineAtMs - this.getNowMs();
  }

  /**
   * Sets the time at which the request is answered with a failure if it has no answer by then. An
   * earlier one that was set before stays.
   */
  limitDeadline(deadlineAtMs: number): void {
    if (this.isOver || deadlineAtMs >= this.deadlineAtMs) return;
    this.deadlineAtMs = deadlineAtMs;
    clearTimeout(this.deadlineTimer);
    const waitMs = Math.max(0, deadlineAtMs - this.getNowMs());
    this.deadlineTimer = setTimeout(() => this.handleDeadline(), waitMs);
  }

  /** Calls `listener` when the caller disconnects or the deadline passes. */
  onCancel(listener: () => void): void {
    this.cancelListeners.add(listener);
  }

  offCancel(listener: () => void): void {
    this.cancelListeners.delete(listener);
  }

  /** Calls `listener` once the caller has received everything or has left. */
  onClosed(listener: () => void): void {
    if (this.outgoing.closed) listener();
    else this.outgoing.once('close', listener);
  }

  addStep(step: string, fields: Record<string, unknown> = {}): void {
    this.steps.push({ atMs: Math.round(this.elapsedMs), step, ...fields });
  }

  /**
   * Sends the head of an upstream's whole answer unchanged; its body is to follow.
   *
   * @returns false if nothing more can be sent to the caller
   */
  startAnswer(status: number, headers: string[], length: number): boolean {
    if (this.isOver) return false;
    if (length > 0 || status !== 204) headers.push('content-length', String(length));
    // Throws if the head is invalid; the request is still to be answered then.
    this.outgoing.writeHead(status, headers as never);
    this.firstByteMs ??= this.elapsedMs;
    this.finish(status < 500 ? 'answered' : 'failed', status);
    return true;
  }

  /** Closes the connection to a caller that does not read its answer. */
  abandonAnswer(reason: string): void {
    this.addStep('answer_abandoned', { reason });
    this.end = 'failed';
    this.outgoing.destroy();
  }

  /** Sends the head of a stream. */
  startStream(status: number, headers: string[]): void {
    if (this.isOver) return;
    this.outgoing.writeHead(status, headers as never);
    this.status = status;
    this.firstByteMs ??= this.elapsedMs;
  }

  /** Sends bytes of a stream; drops them when nothing more can be sent to the caller. */
  writeStream(bytes: Buffer): void {
    if (!this.isOver) this.outgoing.write(bytes);
  }

  /** Resolves when the caller has read enough to be sent more, or has disconnected. */
  waitForDrain(): Promise<void> {
    const { outgoing } = this;
    return new Promise((resolve) => {
      const finish = () => {
        outgoing.off('drain', finish);
        outgoing.off('close', finish);
        resolve();
      };
      outgoing.on('drain', finish);
      outgoing.on('close', finish);
      if (outgoing.destroyed) finish();
    });
  }

  /** Ends a complete stream. */
  endStream(): void {
    if (this.isOver) return;
    this.finish('answered', this.status);
    this.outgoing.end();
  }

  /** Aborts a stream by closing the connection, so that the caller cannot take it for complete. */
  breakStream(reason: string): void {
    if (this.isOver) return;
    this.addStep('stream_broken', { reason });
    this.finish('failed', this.status);
    this.outgoing.destroy();
  }

  /** Sends an error; `outcome_unknown` replaces a "not run" code when the request may have run. */
  sendFailure(name: ResultCodeName, message: string, retryAfterMs?: number): void {
    if (this.isOver) return;
    if (this.outgoing.headersSent) {
      this.breakStream(message);
      return;
    }
    // A refusal promises that no upstream has run the request or will run it later.
    const mayRun = this.mayHaveRun || this.attempt?.wasSent === true;
    if (mayRun && resultCodes[name].ran === 'no') {
      this.sendFailure('outcome_unknown', message);
      return;
    }
    const row = resultCodes[name];
    this.code = name;
    this.addStep('failure', { code: row.code, message });
    this.finish(
      row.httpStatus === 503 || row.httpStatus === 429 ? 'refused' : 'failed',
      row.httpStatus,
    );
    const body = JSON.stringify({
      error: { code: row.code, type: name, message, ran: row.ran, advice: row.advice },
    });
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(body)),
      'x-cactusstair-code': String(row.code),
      'x-cactusstair-ran': row.ran,
    };
    if (retryAfterMs !== undefined) {
      headers['retry-after'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
    }
    // Unread bytes of this request would be parsed as the next one on the connection.
    if (!this.incoming.complete) headers.connection = 'close';
    this.outgoing.writeHead(row.httpStatus, headers);
    this.outgoing.end(body);
  }

  /** Returns what the log says of the request. */
  describe(): Record<string, unknown> {
    return {
      id: this.request?.id.slice(0, MAX_LOGGED_ID_LENGTH),
      route: this.route?.name,
      workspace: this.workspace?.name,
      end: this.end ?? 'cancelled',
      status: this.status,
      durationMs: Math.round(this.elapsedMs),
      steps: this.steps,
    };
  }

  private finish(end: ExchangeEnd, status: number): void {
    this.end = end;
    this.status = status;
    clearTimeout(this.deadlineTimer);
  }

  private handleDeadline(): void {
    if (this.isOver) return;
    const mayRun = this.mayHaveRun || this.attempt?.wasSent === true;
    const name = mayRun ? 'time_over' : 'queue_timeout';
    const message = `no complete answer in ${Math.round(this.elapsedMs)} ms`;
    this.sendFailure(name, message);
    this.notifyCancelled();
  }

  private notifyCancelled(): void {
    for (const listener of this.cancelListeners) listener();
    this.cancelListeners.clear();
  }
}
