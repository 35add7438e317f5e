import type { Refusal, RefusalReason, WaitingRequest } from '@cactusstair/routing';
import { PlaceCredit, RunTimes, ServiceQueue } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

/** Why a request was refused, as logged and counted. */
export type QueueRefusal = RefusalReason | 'no_upstream' | 'not_accepting' | 'not_admitted';

/** What a queue asks of the one that waits in it. */
export interface Waiter {
  /** Starts the request; false if no free place is fit for it. */
  tryStart: () => boolean;
  refuse: (refusal: Refusal<Waiter>) => void;
  /** Refuses the request if no listed upstream may run it any more. */
  refuseWithoutUpstream: () => void;
}

/** Places of a service, as far as this instance knows. */
export interface ServicePlaces {
  /** Places of all upstreams that accept requests, used or not. */
  total: number;
  free: number;
  /** Time until a further upstream accepts requests; Infinity if all do. */
  nextAcceptMs: number;
}

/** Options of `ServiceQueues`. */
export interface ServiceQueuesOptions {
  clock: Clock;
  /** Counts the places of a service. */
  countPlaces: (service: string) => ServicePlaces;
  /** Returns the share of a service's places that is expected to be for this instance. */
  getShare: (service: string) => number;
}

/**
 * Shortest time between two offers of places that are known from reports. In a zone that exchanges
 * a thousand notices a second, each would order the queue again.
 */
const MIN_REPORT_GAP_MS = 10;

/** The queue of one service, with what is known of its requests and places. */
export class ServiceState {
  readonly queue: ServiceQueue<Waiter>;

  /** Time that requests occupy a place, by kind. */
  readonly runs = new RunTimes();

  /** Time from the start of requests to their first event or answer, by kind. */
  readonly firstAnswers = new RunTimes();

  private readonly credit = new PlaceCredit();

  /** Places that this instance has freed, or may take like a request that finds no queue. */
  private ownPlaces = 0;

  private isOfferScheduled = false;

  private reportedAtMs = -Infinity;

  private timer: { wakeAtMs: number; abort: AbortController } | undefined;

  constructor(
    private readonly service: string,
    private readonly options: ServiceQueuesOptions,
  ) {
    this.queue = new ServiceQueue({
      clock: options.clock,
      getExpectedRate: () => this.getExpectedRate(),
    });
  }

  /**
   * Adds a request and offers it a place, if it is its turn.
   *
   * @param isNew false for one that returns to the queue, which is refused no sooner than others
   * that wait
   */
  add(waiter: Waiter, request: WaitingRequest, isNew: boolean): void {
    this.queue.add(waiter, request);
    this.ownPlaces += 1;
    this.offer();
    this.refuse(isNew ? waiter : undefined);
    this.scheduleTimer();
  }

  remove(waiter: Waiter): void {
    this.queue.remove(waiter);
    this.scheduleTimer();
  }

  /** Offers a place that a request of this instance has left. */
  offerOwnPlace(): void {
    if (this.queue.length === 0) return;
    this.ownPlaces += 1;
    this.scheduleOffer();
  }

  /** Offers places that reports or a changed list show. */
  offerReportedPlaces(): void {
    if (this.queue.length === 0) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.reportedAtMs < MIN_REPORT_GAP_MS) {
      this.scheduleTimer();
      return;
    }
    this.reportedAtMs = nowMs;
    this.scheduleOffer();
  }

  /** Refuses requests that no listed upstream may run any more. */
  refuseWithoutUpstream(): void {
    for (const { item } of this.queue.listWaiting()) item.refuseWithoutUpstream();
  }

  close(): void {
    this.timer?.abort.abort();
    this.timer = undefined;
  }

  /** Offers after the events at hand, since the one that freed a place may say more about it. */
  private scheduleOffer(): void {
    if (this.isOfferScheduled) return;
    this.isOfferScheduled = true;
    setImmediate(() => {
      this.isOfferScheduled = false;
      this.offer();
      this.scheduleTimer();
    });
  }

  private offer(): void {
    if (this.queue.length === 0) {
      this.ownPlaces = 0;
      return;
    }
    const share = this.options.getShare(this.service);
    const { free } = this.options.countPlaces(this.service);
    this.credit.accrue(free, share, this.options.clock.monotonicMs());
    // An instance that is alone knows all places exactly.
    const isAlone = share >= 1;
    this.queue.offer(
      (waiter) => {
        if (!waiter.tryStart()) return false;
        if (this.ownPlaces > 0) this.ownPlaces -= 1;
        else if (!isAlone) this.credit.take();
        return true;
      },
      () =>
        (isAlone || this.ownPlaces > 0 || this.credit.hasPlace) &&
        this.options.countPlaces(this.service).free > 0,
    );
    this.ownPlaces = 0;
  }

  private refuse(newest?: Waiter): void {
    for (const refusal of this.queue.takeRefusals(newest)) refusal.item.refuse(refusal);
  }

  /** Places that are expected to be for this instance; undefined while no run has ended. */
  private getExpectedRate(): number | undefined {
    if (this.runs.meanMs === undefined) return undefined;
    return this.options.countPlaces(this.service).total * this.options.getShare(this.service);
  }

  /** One timer for each queue; none while nothing waits. */
  private scheduleTimer(): void {
    if (this.queue.length === 0) {
      this.close();
      return;
    }
    const nowMs = this.options.clock.monotonicMs();
    const reportAtMs = this.reportedAtMs + MIN_REPORT_GAP_MS;
    const wakeAtMs = Math.min(
      this.queue.nextRefusalAtMs,
      nowMs + this.options.countPlaces(this.service).nextAcceptMs,
      reportAtMs > nowMs ? reportAtMs : Infinity,
    );
    if (wakeAtMs === Infinity || (this.timer && this.timer.wakeAtMs <= wakeAtMs)) return;
    this.close();
    const abort = new AbortController();
    this.timer = { wakeAtMs, abort };
    void this.wake(Math.max(1, Math.ceil(wakeAtMs - nowMs)), abort.signal);
  }

  private async wake(durationMs: number, signal: AbortSignal): Promise<void> {
    await this.options.clock.sleep(durationMs, signal);
    if (signal.aborted) return;
    this.timer = undefined;
    this.offer();
    this.refuse();
    this.scheduleTimer();
  }
}

/** The queues of all services of an instance. */
export class ServiceQueues {
  private readonly states = new Map<string, ServiceState>();

  constructor(private readonly options: ServiceQueuesOptions) {}

  get(service: string): ServiceState {
    let state = this.states.get(service);
    if (!state) {
      state = new ServiceState(service, this.options);
      this.states.set(service, state);
    }
    return state;
  }

  /** Offers places after the loads of peers have changed. */
  offerReportedPlaces(): void {
    for (const state of this.states.values()) state.offerReportedPlaces();
  }

  /** Offers places, or refuses requests, after the list of upstreams has changed. */
  handleListChange(service: string): void {
    const state = this.states.get(service);
    state?.refuseWithoutUpstream();
    state?.offerReportedPlaces();
  }

  /** Returns the number of waiting requests by service. */
  countWaiting(): Record<string, number> {
    return Object.fromEntries(
      [...this.states].map(([service, { queue }]) => [service, queue.length]),
    );
  }

  close(): void {
    for (const state of this.states.values()) state.close();
  }
}
