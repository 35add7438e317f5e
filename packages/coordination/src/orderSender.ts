import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { TrackedLease } from './heldLease.js';

/**
 * Answer of an upstream to an order: `superseded` if it has received a higher fencing token,
 * `not_sent` if no byte of the order was sent, `unknown` if there was no answer.
 */
export type OrderAnswer = 'accepted' | 'superseded' | 'refused' | 'not_sent' | 'unknown';

/** State of an order, read from the upstream. `pending`: the upstream is carrying it out. */
export type OrderState = 'in_force' | 'pending' | 'not_in_force' | 'unreadable';

/** Parameters of one attempt to send an order. */
export interface SendContext {
  fencing: number;
  /** Time after which the order must be abandoned, in milliseconds. */
  timeoutMs: number;
  /** Must be called right before the first byte is sent; if false, nothing may be sent. */
  canSend: () => boolean;
  /** Aborts when `timeoutMs` has passed. */
  signal: AbortSignal;
}

/** Sends orders to upstreams and reads their state. */
export interface OrderTransport<TOrder> {
  send(upstream: string, order: TOrder, context: SendContext): Promise<OrderAnswer>;
  readState(upstream: string, order: TOrder, signal: AbortSignal): Promise<OrderState>;
}

/** Why an order is not known to be in force. */
export type OrderFailure =
  /** Too little time is left on the lease; nothing was sent in this attempt. */
  | { type: 'lease_short'; remainingMs: number }
  /** The upstream has received an order of a later holder. */
  | { type: 'superseded' }
  | { type: 'refused' }
  /** The state of the upstream does not show the order, which may still take effect. */
  | { type: 'unconfirmed'; lastAnswer: OrderAnswer };

/** Options of `OrderSender`. */
export interface OrderSenderOptions<TOrder> {
  lease: TrackedLease;
  transport: OrderTransport<TOrder>;
  clock?: Clock;
  /** Longest time for one order, in milliseconds; at most that of the lease. Default 30,000. */
  orderTimeoutMs?: number;
  /** Time that must be left on the lease for an order to be sent, in milliseconds. Default 2000. */
  minRemainingMs?: number;
  /** Attempts to send one order before it is reported as unconfirmed. Default 3. */
  maxAttempts?: number;
}

const DEFAULT_ORDER_TIMEOUT_MS = 30_000;
// Covers the connection setup and a short pause of the process between the check and the send.
const DEFAULT_MIN_REMAINING_MS = 2000;
const DEFAULT_MAX_ATTEMPTS = 3;

/**
 * Brings upstreams to a desired state under a lease.
 *
 * Orders carry the fencing token for upstreams that check it. Upstreams that do not are protected
 * in three ways: an order is sent only while enough time is left on the lease, a successor waits for
 * the orders in flight, and `apply` is repeated at an interval and compares the state each time.
 */
export class OrderSender<TOrder> {
  private readonly clock: Clock;

  private readonly lastRunByUpstream = new Map<string, Promise<unknown>>();

  constructor(private readonly options: OrderSenderOptions<TOrder>) {
    this.clock = options.clock ?? systemClock;
  }

  /**
   * Makes the upstream's state match the order; sends nothing if it already does. Orders to one
   * upstream run one after the other.
   */
  async apply(
    upstream: string,
    order: TOrder,
  ): Promise<Result<'in_force' | 'pending', OrderFailure>> {
    const previous = this.lastRunByUpstream.get(upstream) ?? Promise.resolve();
    const run = previous.then(() => this.reconcile(upstream, order));
    this.lastRunByUpstream.set(upstream, run);
    try {
      return await run;
    } finally {
      if (this.lastRunByUpstream.get(upstream) === run) this.lastRunByUpstream.delete(upstream);
    }
  }

  private async reconcile(
    upstream: string,
    order: TOrder,
  ): Promise<Result<'in_force' | 'pending', OrderFailure>> {
    const maxAttempts = this.options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    let lastAnswer: OrderAnswer = 'not_sent';
    for (let attempt = 0; ; attempt += 1) {
      const state = await this.readState(upstream, order);
      if (state === 'in_force' || state === 'pending') return ok(state);
      if (attempt >= maxAttempts) return err({ type: 'unconfirmed', lastAnswer });
      if (!this.canSend()) {
        return err({ type: 'lease_short', remainingMs: this.options.lease.getRemainingMs() });
      }
      lastAnswer = await this.send(upstream, order);
      if (lastAnswer === 'superseded' || lastAnswer === 'refused') return err({ type: lastAnswer });
    }
  }

  private canSend(): boolean {
    const minRemainingMs = this.options.minRemainingMs ?? DEFAULT_MIN_REMAINING_MS;
    return this.options.lease.getRemainingMs() >= Math.max(1, minRemainingMs);
  }

  private async send(upstream: string, order: TOrder): Promise<OrderAnswer> {
    const { lease, transport } = this.options;
    const finish = lease.trackOrder();
    const answer = await this.callWithTimeout<OrderAnswer>('unknown', (signal, timeoutMs) =>
      transport.send(upstream, order, {
        fencing: lease.fencing,
        timeoutMs,
        canSend: () => !signal.aborted && this.canSend(),
        signal,
      }),
    );
    finish(answer === 'unknown' ? 'unknown' : 'settled');
    return answer;
  }

  private readState(upstream: string, order: TOrder): Promise<OrderState> {
    return this.callWithTimeout<OrderState>('unreadable', (signal) =>
      this.options.transport.readState(upstream, order, signal),
    );
  }

  /** Returns `fallback` if the call fails or takes too long. */
  private async callWithTimeout<T>(
    fallback: T,
    call: (signal: AbortSignal, timeoutMs: number) => Promise<T>,
  ): Promise<T> {
    const timeoutMs = this.options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS;
    const controller = new AbortController();
    try {
      return await Promise.race([
        call(controller.signal, timeoutMs),
        this.clock.sleep(timeoutMs, controller.signal).then(() => fallback),
      ]);
    } catch {
      return fallback;
    } finally {
      controller.abort();
    }
  }
}
