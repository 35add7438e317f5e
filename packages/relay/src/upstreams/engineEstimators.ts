import type { PrefillSums } from '@cactusstair/routing';
import { createDictionary } from '@cactusstair/utils';
import {
  addPrefillSums,
  createPrefillSums,
  PrefillEstimator,
  QueueBias,
  WorkAverage,
} from '@cactusstair/routing';

/** Sums of prefill samples by service and model, as instances exchange them. */
export type EngineSums = Record<string, Record<string, PrefillSums>>;

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
}

/** What is learned about the engines of all services. */
export class EngineEstimators {
  private readonly byService = new Map<string, ServiceEstimators>();

  get(service: string): ServiceEstimators {
    let estimators = this.byService.get(service);
    if (!estimators) {
      estimators = {
        prefill: new PrefillEstimator(),
        queueBias: new QueueBias(),
        work: new WorkAverage(),
      };
      this.byService.set(service, estimators);
    }
    return estimators;
  }

  /** Returns the sums of this instance, rounded for sending. */
  exportSums(): EngineSums {
    const all = createEngineSums();
    for (const [service, { prefill }] of this.byService) {
      all[service] = Object.fromEntries(
        Object.entries(prefill.exportSums()).map(([model, sums]) => [model, roundSums(sums)]),
      );
    }
    return all;
  }

  /** Replaces the sums of all other instances. */
  importPeerSums(all: EngineSums): void {
    for (const [service, sums] of Object.entries(all)) {
      this.get(service).prefill.importPeerSums(sums);
    }
  }
}

function roundSums(sums: PrefillSums): PrefillSums {
  const [weight, ...others] = sums.map((sum) => Math.round(sum * 100) / 100);
  const [nominal, wait, nominalSquared, nominalWait] = others.map(Math.round);
  return [weight!, nominal!, wait!, nominalSquared!, nominalWait!];
}
