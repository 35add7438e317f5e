import type { UpstreamAvailability, UpstreamView } from '@cactusstair/routing';
import { PrefixIndex } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

import type { EventLoop } from './eventLoop.js';
import type { FakeEngine } from './fakeEngine.js';

/** Interval and delay of the engine reports that an instance receives. */
export interface ViewOptions {
  reportIntervalMs: number;
  /** Minimum delay of a report; the maximum is twice this time. */
  reportLagMs: number;
  /** Time after which an engine includes a cache event in its reports. */
  eventLagMs: number;
  /** Whether the policy uses the contents of the prefix caches. */
  usesCacheEvents: boolean;
}

export const DEFAULT_VIEW_OPTIONS: ViewOptions = {
  reportIntervalMs: 1000,
  reportLagMs: 300,
  eventLagMs: 1000,
  usesCacheEvents: true,
};

interface EngineState {
  engine: FakeEngine;
  outstanding: number;
  sentAtMs: number[];
  report: { active: number; queued: number; takenAtMs: number } | undefined;
}

/**
 * State of the engines as seen by one instance: its own calls, delayed reports and cache events.
 */
export class InstanceView {
  readonly prefixIndex: PrefixIndex;

  private readonly states = new Map<string, EngineState>();

  constructor(
    private readonly loop: EventLoop,
    private readonly random: Random,
    readonly zone: string,
    engines: readonly FakeEngine[],
    private readonly options: ViewOptions = DEFAULT_VIEW_OPTIONS,
  ) {
    this.prefixIndex = new PrefixIndex({ clock: loop });
    for (const engine of engines) {
      this.states.set(engine.name, { engine, outstanding: 0, sentAtMs: [], report: undefined });
      const firstMs = random.next() * options.reportIntervalMs;
      loop.repeat(options.reportIntervalMs, firstMs, () => this.poll(engine));
    }
  }

  recordSent(name: string, prefixHashes: readonly string[]): void {
    const state = this.states.get(name)!;
    state.outstanding += 1;
    state.sentAtMs.push(this.loop.monotonicMs());
    if (this.options.usesCacheEvents) this.prefixIndex.recordSent(name, prefixHashes);
  }

  recordEnd(name: string): void {
    this.states.get(name)!.outstanding -= 1;
  }

  getOutstanding(name: string): number {
    return this.states.get(name)!.outstanding;
  }

  /** Returns the queue length of the last report; undefined without a report. */
  getReportedQueued(name: string): number | undefined {
    return this.states.get(name)!.report?.queued;
  }

  listViews(
    getHealth?: (name: string) => { availability: UpstreamAvailability; readyForMs: number },
  ): UpstreamView[] {
    const nowMs = this.loop.monotonicMs();
    return [...this.states.values()].map(({ engine, outstanding, sentAtMs, report }) => ({
      name: engine.name,
      zone: engine.zone,
      slots: engine.slots,
      outstanding,
      reported: report && {
        active: report.active,
        queued: report.queued,
        ageMs: nowMs - report.takenAtMs,
      },
      sentSinceReport: sentAtMs.length,
      availability: 'ready',
      readyForMs: Infinity,
      ...getHealth?.(engine.name),
    }));
  }

  private poll(engine: FakeEngine): void {
    if (engine.isFailing()) return;
    const takenAtMs = this.loop.monotonicMs();
    const load = engine.getLoad();
    const events = this.options.usesCacheEvents
      ? engine.listEvents(
          this.prefixIndex.getLastSequence(engine.name),
          takenAtMs - this.options.eventLagMs,
        )
      : [];
    const lagMs = this.options.reportLagMs * (1 + this.random.next());
    this.loop.schedule(lagMs, () => {
      const state = this.states.get(engine.name)!;
      state.report = { ...load, takenAtMs };
      state.sentAtMs = state.sentAtMs.filter((sentAtMs) => sentAtMs > takenAtMs);
      this.prefixIndex.applyEvents(engine.name, events);
    });
  }
}
