import type { Permit, RequestClass } from '@cactusstair/routing';
import {
  AdmissionQueue,
  chooseUpstream,
  ConcurrencyLimit,
  RetryBudget,
  UpstreamHealthPool,
} from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

import type { AttemptFailure } from './attempt.js';
import { startAttempt } from './attempt.js';
import type { EventLoop } from './eventLoop.js';
import type { FakeEngine } from './fakeEngine.js';
import type { InstanceView } from './instanceView.js';
import type { WorkloadRequest } from './workload.js';

/** Result of a request as seen by its caller. */
export interface RequestOutcome {
  result: 'completed' | 'refused' | 'failed' | 'gave_up';
  /** Time to first token of a completed request. */
  firstTokenMs: number;
  upstreamCalls: number;
}

/** Routing of one simulated instance. */
export interface Router {
  handle(request: WorkloadRequest, onEnd: (outcome: RequestOutcome) => void): void;
}

/** Options of all routers. */
export interface RouterOptions {
  loop: EventLoop;
  random: Random;
  view: InstanceView;
  engines: ReadonlyMap<string, FakeEngine>;
  /** Number of instances that share the engines. */
  instances: number;
  /** Whether failing engines are ejected. `PolicyRouter` ignores it and always ejects them. */
  ejection: boolean;
  /** Maximum upstream calls per request; the retry budget of `PolicyRouter` may allow fewer. */
  maxAttempts: number;
}

const FIRST_TOKEN_TIMEOUT_MS: Record<RequestClass, number> = { short: 3000, long: 8000 };
/** Time after which a caller without a first token disconnects. */
const CALLER_TIMEOUT_MS: Record<RequestClass, number> = { short: 6000, long: 16_000 };
const PROBE_INTERVAL_MS = 1000;
const QUEUE_DEADLINE_MS: Record<RequestClass, number> = { short: 1000, long: 4000 };

/** State of one request in a router. */
class RequestRun {
  upstreamCalls = 0;

  readonly tried = new Set<string>();

  private firstTokenMs = 0;

  private ended = false;

  private cancelAttempt: (() => void) | undefined;

  private readonly startedAtMs: number;

  private readonly callerTimeout: { cancelled: boolean };

  constructor(
    private readonly options: RouterOptions,
    readonly request: WorkloadRequest,
    private readonly onEnd: (outcome: RequestOutcome) => void,
  ) {
    this.startedAtMs = options.loop.monotonicMs();
    const callerTimeoutMs = CALLER_TIMEOUT_MS[request.requestClass];
    this.callerTimeout = options.loop.schedule(callerTimeoutMs, () => {
      this.cancelAttempt?.();
      this.end('gave_up');
    });
  }

  get isEnded(): boolean {
    return this.ended;
  }

  end(result: RequestOutcome['result']): void {
    if (this.ended) return;
    this.ended = true;
    this.callerTimeout.cancelled = true;
    const { firstTokenMs, upstreamCalls } = this;
    this.onEnd({ result, firstTokenMs, upstreamCalls });
  }

  /** Sends the request to an engine; `onFailed` decides about a retry. */
  attempt(
    name: string,
    onFirstToken: (latencyMs: number) => void,
    onFailed: (reason: AttemptFailure) => void,
  ): void {
    const { loop, view, engines } = this.options;
    this.upstreamCalls += 1;
    this.tried.add(name);
    view.recordSent(name, this.request.prefixHashes);
    const timeoutMs = FIRST_TOKEN_TIMEOUT_MS[this.request.requestClass];
    const cancel = startAttempt(loop, engines.get(name)!, this.request, timeoutMs, {
      onFirstToken: (latencyMs) => {
        this.callerTimeout.cancelled = true;
        this.firstTokenMs = loop.monotonicMs() - this.startedAtMs;
        onFirstToken(latencyMs);
      },
      onDone: () => {
        view.recordEnd(name);
        this.end('completed');
      },
      onFailed: (reason) => {
        view.recordEnd(name);
        // A request is not retried after its first token.
        if (this.firstTokenMs > 0) this.end('failed');
        onFailed(reason);
      },
    });
    this.cancelAttempt = () => {
      view.recordEnd(name);
      cancel();
    };
  }
}

function createHealthPool(options: RouterOptions): UpstreamHealthPool {
  const pool = new UpstreamHealthPool({ clock: options.loop, slowStartMs: 10_000 });
  pool.setMembers(options.engines.keys());
  for (const engine of options.engines.values()) {
    const firstMs = options.random.next() * PROBE_INTERVAL_MS;
    options.loop.repeat(PROBE_INTERVAL_MS, firstMs, () =>
      pool.get(engine.name)?.recordProbe(!engine.isFailing()),
    );
  }
  return pool;
}

/** Baseline: unlimited FIFO queues at the engines, choice of the least outstanding upstream. */
export class FifoRouter implements Router {
  private readonly health: UpstreamHealthPool;

  constructor(private readonly options: RouterOptions) {
    this.health = createHealthPool(options);
  }

  handle(request: WorkloadRequest, onEnd: (outcome: RequestOutcome) => void): void {
    this.send(new RequestRun(this.options, request, onEnd));
  }

  private send(run: RequestRun): void {
    if (run.isEnded) return;
    const names = [...this.options.engines.keys()].filter(
      (name) => !run.tried.has(name) && !this.isEjected(name),
    );
    if (names.length === 0) {
      run.end('failed');
      return;
    }
    const { view, random } = this.options;
    const least = Math.min(...names.map((name) => view.getOutstanding(name)));
    const best = names.filter((name) => view.getOutstanding(name) === least);
    const name = best[random.nextInt(best.length)]!;
    run.attempt(
      name,
      () => this.health.get(name)!.recordSuccess(),
      (reason) => {
        this.health.get(name)!.recordFailure(reason);
        if (run.upstreamCalls < this.options.maxAttempts) this.send(run);
        else run.end('failed');
      },
    );
  }

  private isEjected(name: string): boolean {
    if (!this.options.ejection) return false;
    const availability = this.health.get(name)!.getAvailability();
    return availability === 'ejected' || availability === 'leaving';
  }
}

/** Combines the components of the routing package in the same way as an entry instance. */
export class PolicyRouter implements Router {
  private readonly queue: AdmissionQueue;

  private readonly retryBudget: RetryBudget;

  private readonly health: UpstreamHealthPool;

  private readonly limits = new Map<string, ConcurrencyLimit>();

  constructor(private readonly options: RouterOptions) {
    const { loop, engines, instances } = options;
    this.queue = new AdmissionQueue({ clock: loop });
    this.retryBudget = new RetryBudget({ clock: loop });
    this.health = createHealthPool(options);
    for (const { name, slots } of engines.values()) {
      const initialLimit = Math.ceil(slots / instances);
      this.limits.set(name, new ConcurrencyLimit({ initialLimit, maxLimit: slots * 2 }));
    }
    this.updateCapacity();
  }

  handle(request: WorkloadRequest, onEnd: (outcome: RequestOutcome) => void): void {
    const requestEnd = new AbortController();
    let permit: Permit | undefined;
    const run = new RequestRun(this.options, request, (outcome) => {
      requestEnd.abort();
      permit?.release();
      this.options.loop.schedulePromiseFlush();
      onEnd(outcome);
    });
    const { workspace, requestClass, outputTokens } = request;
    const deadlineMs = QUEUE_DEADLINE_MS[requestClass];
    const cost = outputTokens + request.promptTokens / 20;
    this.retryBudget.recordRequest();
    this.updateCapacity();
    this.options.loop.schedulePromiseFlush();
    void this.queue
      .acquire({ workspace, weight: 1, requestClass, cost, deadlineMs, signal: requestEnd.signal })
      .then((result) => {
        if (result.isErr()) {
          run.end('refused');
          return;
        }
        permit = result.value;
        if (run.isEnded) permit.release();
        else this.send(run);
      });
  }

  private send(run: RequestRun): void {
    if (run.isEnded) return;
    const name = this.choose(run);
    if (name === undefined) {
      run.end('failed');
      return;
    }
    const limit = this.limits.get(name)!;
    const health = this.health.get(name)!;
    const { requestClass } = run.request;
    const inFlight = this.options.view.getOutstanding(name) + 1;
    run.attempt(
      name,
      (latencyMs) => {
        health.recordSuccess();
        const upstreamQueued = this.options.view.getReportedQueued(name);
        limit.recordSample({ latencyMs, inFlight, failed: false, requestClass, upstreamQueued });
        this.updateCapacity();
      },
      (reason) => {
        health.recordFailure(reason);
        limit.recordSample({ latencyMs: 0, inFlight, failed: reason === 'timeout' });
        this.updateCapacity();
        if (run.upstreamCalls < this.options.maxAttempts && this.retryBudget.tryTake())
          this.send(run);
        else run.end('failed');
      },
    );
  }

  private choose(run: RequestRun): string | undefined {
    const { view, random } = this.options;
    const views = view.listViews((name) => {
      const health = this.health.get(name)!;
      return { availability: health.getAvailability(), readyForMs: health.getReadyForMs() };
    });
    const atLimit = views
      .filter(({ name, outstanding }) => outstanding >= this.limits.get(name)!.getLimit())
      .map(({ name }) => name);
    const { prefixHashes } = run.request;
    const state = { random, prefixIndex: view.prefixIndex };
    const request = { zone: view.zone, prefixHashes, exclusive: false };
    const chosen =
      chooseUpstream(views, { ...request, exclude: new Set([...run.tried, ...atLimit]) }, state) ??
      chooseUpstream(views, { ...request, exclude: run.tried }, state);
    return chosen?.name;
  }

  private updateCapacity(): void {
    let capacity = 0;
    for (const [name, limit] of this.limits) {
      const availability = this.health.get(name)!.getAvailability();
      if (availability === 'ready' || availability === 'slow_start') capacity += limit.getLimit();
    }
    this.queue.setCapacity(capacity);
    this.options.loop.schedulePromiseFlush();
  }
}
