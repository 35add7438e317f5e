import {
  addPrefillSums,
  createPrefillSums,
  PrefillEstimator,
  QueueBias,
  RunTimeEstimator,
  WorkAverage,
} from '@cactusstair/routing';
import type { LogSums, PrefillSums } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { createDictionary, systemClock } from '@cactusstair/utils';

import { ModelNames } from './modelNames.js';

/** Sums of prefill samples by service and model, as instances exchange them. */
export type EngineSums = Record<string, Record<string, PrefillSums>>;

// The sums of run times travel as further services whose lists have the length of prefill sums.
// Builds that do not know them validate, add up and pass on these entries like those of a service.
const RUN_TIMES_SUFFIX = '#runs';

export function createEngineSums(): EngineSums {
  return createDictionary();
}

/** Adds the sums of one instance or zone to `total`. */
export function addEngineSums(total: EngineSums, part: EngineSums): void {
  for (const [service, models] of Object.entries(part)) {
    const totals = (total[service] ??= createDictionary());
    for (const [model, sums] of Object.entries(models)) {
      addPrefillSums((totals[model] ??= createPrefillSums()), sums);
    }
  }
}

/** What is learned about the engines of one service. */
export interface ServiceEstimators {
  prefill: PrefillEstimator;
  queueBias: QueueBias;
  work: WorkAverage;
  runTimes: RunTimeEstimator;
  modelNames: ModelNames;
}

/** What is learned about the engines of all services. */
export class EngineEstimators {
  private readonly byService = new Map<string, ServiceEstimators>();

  constructor(private readonly clock: Clock = systemClock) {}

  get(service: string): ServiceEstimators {
    let estimators = this.byService.get(service);
    if (!estimators) {
      estimators = {
        prefill: new PrefillEstimator(),
        queueBias: new QueueBias(),
        work: new WorkAverage(),
        runTimes: new RunTimeEstimator(() => this.clock.monotonicMs()),
        modelNames: new ModelNames(),
      };
      this.byService.set(service, estimators);
    }
    return estimators;
  }

  /**
   * Returns the sums of this instance, rounded for sending.
   *
   * @param withRunTimes whether to add the run times, which take most of the space
   */
  exportSums(withRunTimes = true): EngineSums {
    const all = createEngineSums();
    for (const [service, { prefill, runTimes }] of this.byService) {
      all[service] = mapValues(prefill.exportSums(), roundSums);
      if (!withRunTimes) continue;
      all[service + RUN_TIMES_SUFFIX] = mapValues(runTimes.exportSums(), toWireSums);
    }
    return all;
  }

  /** Replaces the sums of all other instances. */
  importPeerSums(all: EngineSums): void {
    for (const [key, sums] of Object.entries(all)) {
      if (!key.endsWith(RUN_TIMES_SUFFIX)) this.get(key).prefill.importPeerSums(sums);
    }
    // Run times that nobody reports any more must not outlive those who saw them.
    const services = Object.keys(all)
      .filter((key) => key.endsWith(RUN_TIMES_SUFFIX))
      .map((key) => key.slice(0, -RUN_TIMES_SUFFIX.length));
    for (const service of new Set([...services, ...this.byService.keys()])) {
      this.get(service).runTimes.importPeerSums(all[service + RUN_TIMES_SUFFIX] ?? {});
    }
  }
}

function mapValues<T>(
  values: Record<string, T>,
  map: (value: T) => PrefillSums,
): Record<string, PrefillSums> {
  const mapped = createDictionary<PrefillSums>();
  for (const [key, value] of Object.entries(values)) mapped[key] = map(value);
  return mapped;
}

/** Rounds log sums for sending and fills them up to the length of prefill sums. */
function toWireSums(sums: LogSums): PrefillSums {
  const [weight, sum, squares] = sums.map((value) => Math.round(value * 100) / 100);
  return [weight!, sum!, squares!, 0, 0];
}

function roundSums(sums: PrefillSums): PrefillSums {
  const [weight, ...others] = sums.map((sum) => Math.round(sum * 100) / 100);
  const [nominal, wait, nominalSquared, nominalWait] = others.map(Math.round);
  return [weight!, nominal!, wait!, nominalSquared!, nominalWait!];
}
