import type { CacheEvent } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

import type { EventLoop } from './eventLoop.js';
import { PrefixCache } from './prefixCache.js';

/** Options of `FakeEngine`. */
export interface FakeEngineOptions {
  name: string;
  zone: string;
  /** Maximum number of requests in the running batch. */
  slots: number;
  /** Speed factor of all steps; default 1. */
  speed?: number;
  /** Capacity of the prefix cache in blocks. */
  cacheBlocks: number;
  /** Tokens per block of the prefix cache. */
  blockTokens: number;
}

/** One call to an engine. */
export interface EngineCall {
  /** Cumulative hashes of the prompt's blocks, shortest prefix first. */
  prefixHashes: string[];
  promptTokens: number;
  outputTokens: number;
  onFirstToken: () => void;
  /** Called for each further token with the time since the previous one. */
  onToken: (gapMs: number) => void;
  onDone: () => void;
  /** Called when the engine refuses the call or crashes. */
  onFailed: (reason: 'status' | 'crash') => void;
}

interface ActiveCall {
  call: EngineCall;
  prefillLeft: number;
  tokensLeft: number;
  lastTokenAtMs: number;
}

/** Fixed duration of a step: the weights are read once for the whole batch. */
const STEP_BASE_MS = 9;
/** Additional duration of a step for each sequence that generates a token. */
const STEP_PER_SEQUENCE_MS = 0.7;
const PREFILL_PER_TOKEN_MS = 0.03;
/** Prompt tokens per step; limited so that a long prompt does not stall the other sequences. */
const PREFILL_CHUNK_TOKENS = 512;
/** Time that a failing engine takes to refuse a call. */
const REFUSAL_MS = 5;
/** Probability that a cache event is not published. */
const EVENT_LOSS = 0.03;
/** Probability that a cache event is published twice. */
const EVENT_REPEAT = 0.02;
const MAX_KEPT_EVENTS = 20_000;

/**
 * Simulates an inference engine: a queue, continuous batching with a fixed number of slots and
 * steps that take longer for a larger batch, chunked prefill, and a prefix cache of limited size.
 */
export class FakeEngine {
  readonly name: string;

  readonly zone: string;

  readonly slots: number;

  /** Prompt tokens of the started calls: all, and those found in the prefix cache. */
  readonly promptTokens = { total: 0, cached: 0 };

  private readonly speed: number;

  private readonly cache: PrefixCache;

  private readonly queue: EngineCall[] = [];

  private active: ActiveCall[] = [];

  private stepping = false;

  private failing = false;

  private readonly events: { event: CacheEvent; atMs: number }[] = [];

  private sequence = 0;

  constructor(
    private readonly loop: EventLoop,
    private readonly random: Random,
    private readonly options: FakeEngineOptions,
  ) {
    this.name = options.name;
    this.zone = options.zone;
    this.slots = options.slots;
    this.speed = options.speed ?? 1;
    this.cache = new PrefixCache(options.cacheBlocks, (type, prefixHash) =>
      this.publish(type, prefixHash),
    );
  }

  submit(call: EngineCall): void {
    if (this.failing) {
      this.loop.schedule(REFUSAL_MS, () => call.onFailed('status'));
      return;
    }
    this.queue.push(call);
    this.startStep();
  }

  /** Removes a call without an answer, as after a disconnect of the caller. */
  cancel(call: EngineCall): void {
    const index = this.queue.indexOf(call);
    if (index >= 0) this.queue.splice(index, 1);
    this.active = this.active.filter((active) => active.call !== call);
  }

  /** Simulates a crash: fails all calls, clears the cache and refuses new calls until `recover`. */
  fail(): void {
    this.failing = true;
    const calls = [...this.active.map(({ call }) => call), ...this.queue.splice(0)];
    this.active = [];
    this.cache.clear();
    for (const call of calls) call.onFailed('crash');
  }

  recover(): void {
    this.failing = false;
  }

  isFailing(): boolean {
    return this.failing;
  }

  getLoad(): { active: number; queued: number } {
    return { active: this.active.length, queued: this.queue.length };
  }

  /** Lists the cache events after a sequence number that were published up to `beforeMs`. */
  listEvents(afterSequence: number, beforeMs: number): CacheEvent[] {
    let end = this.events.length;
    while (end > 0 && this.events[end - 1]!.atMs > beforeMs) end -= 1;
    let start = end;
    while (start > 0 && this.events[start - 1]!.event.sequence > afterSequence) start -= 1;
    return this.events.slice(start, end).map(({ event }) => event);
  }

  private publish(type: CacheEvent['type'], prefixHash: string): void {
    this.sequence += 1;
    if (this.random.next() < EVENT_LOSS) return;
    const entry = {
      event: { sequence: this.sequence, type, prefixHash },
      atMs: this.loop.monotonicMs(),
    };
    this.events.push(entry);
    if (this.random.next() < EVENT_REPEAT) this.events.push(entry);
    if (this.events.length > MAX_KEPT_EVENTS) this.events.splice(0, MAX_KEPT_EVENTS / 2);
  }

  private startStep(): void {
    if (this.stepping) return;
    this.admitQueued();
    if (this.active.length === 0) return;
    this.stepping = true;
    let prefillBudget = PREFILL_CHUNK_TOKENS;
    let prefilled = 0;
    let decoding = 0;
    const batch = [...this.active];
    for (const call of batch) {
      if (call.prefillLeft > 0) {
        const chunk = Math.min(prefillBudget, call.prefillLeft);
        call.prefillLeft -= chunk;
        prefillBudget -= chunk;
        prefilled += chunk;
      } else {
        decoding += 1;
      }
    }
    const durationMs =
      (STEP_BASE_MS + STEP_PER_SEQUENCE_MS * decoding + PREFILL_PER_TOKEN_MS * prefilled) /
      this.speed;
    this.loop.schedule(durationMs, () => this.endStep(batch));
  }

  private admitQueued(): void {
    while (this.active.length < this.slots) {
      const call = this.queue.shift();
      if (!call) return;
      const cachedBlocks = this.cache.countCached(call.prefixHashes);
      const cached = Math.min(cachedBlocks * this.options.blockTokens, call.promptTokens - 1);
      this.promptTokens.total += call.promptTokens;
      this.promptTokens.cached += cached;
      this.active.push({
        call,
        prefillLeft: call.promptTokens - cached,
        tokensLeft: call.outputTokens,
        lastTokenAtMs: -1,
      });
    }
  }

  private endStep(batch: ActiveCall[]): void {
    this.stepping = false;
    const running = new Set(this.active);
    for (const active of batch) {
      if (running.has(active) && active.prefillLeft <= 0) this.emitToken(active);
    }
    this.active = this.active.filter((active) => active.tokensLeft > 0);
    this.startStep();
  }

  private emitToken(active: ActiveCall): void {
    const nowMs = this.loop.monotonicMs();
    if (active.lastTokenAtMs < 0) {
      this.cache.store(active.call.prefixHashes);
      active.call.onFirstToken();
    } else {
      active.call.onToken(nowMs - active.lastTokenAtMs);
    }
    active.lastTokenAtMs = nowMs;
    active.tokensLeft -= 1;
    if (active.tokensLeft === 0) active.call.onDone();
  }
}
