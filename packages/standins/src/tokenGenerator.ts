import { systemClock } from '@cactusstair/utils';

import type { BatchScheduler } from './batchScheduler.js';
import type { EngineFaultTable } from './engineAdmission.js';
import type { EngineSettings } from './engineOptions.js';
import type { EngineRun } from './engineRun.js';
import type { PrefixCache } from './prefixCache.js';

const FREEZE_CHECK_MS = 20;
const MIN_SLEEP_MS = 1;

/** Generates tokens at a rate that depends on the batch, the prefix cache and the faults. */
export class TokenGenerator {
  constructor(
    private readonly settings: EngineSettings,
    private readonly faults: EngineFaultTable,
    private readonly cache: PrefixCache,
    private readonly onCrash: (downMs: number) => void,
  ) {}

  /** Yields the index of each token when it is due, until the last one or until the run stops. */
  async *generate(run: EngineRun, scheduler: BatchScheduler): AsyncGenerator<number> {
    const { request, signal } = run;
    const hitShare = this.cache.lookUpAndStore(request.prompt);
    const firstTokenMs = this.settings.firstTokenMs * (1 - this.settings.cacheSaving * hitShare);
    let dueAtMs = performance.now() + firstTokenMs * this.getDelayFactor(scheduler);
    for (let index = request.resumeFrom; index < request.tokenCount; index += 1) {
      const waitMs = dueAtMs - performance.now();
      if (waitMs >= MIN_SLEEP_MS) await systemClock.sleep(waitMs, signal);
      while (this.faults.get('freeze') && !signal.aborted) {
        await systemClock.sleep(FREEZE_CHECK_MS, signal);
      }
      if (signal.aborted) return;
      if (this.crashOnMarker(run, index - request.resumeFrom)) return;
      run.entry.tokens += 1;
      yield index;
      dueAtMs += this.settings.tokenMs * this.getDelayFactor(scheduler);
    }
  }

  private getDelayFactor(scheduler: BatchScheduler): number {
    const others = Math.max(0, scheduler.active - 1);
    return (1 + this.settings.batchFactor * others) * (this.faults.get('slow')?.factor ?? 1);
  }

  private crashOnMarker(run: EngineRun, generated: number): boolean {
    const fault = this.faults.get('crashOnMarker');
    if (!fault || generated < fault.afterTokens) return false;
    if (!run.request.prompt.includes(fault.marker)) return false;
    this.faults.take('crashOnMarker');
    this.onCrash(fault.downMs);
    return true;
  }
}
