import type { Random } from '@cactusstair/utils';

import type { BatchScheduler } from './batchScheduler.js';
import type { engineFaults } from './engineOptions.js';
import type { EngineRequest } from './engineRequest.js';
import type { FaultTable } from './faultTable.js';
import type { ModelLoader } from './modelLoader.js';

export type EngineFaultTable = FaultTable<typeof engineFaults>;

/** Why a request is refused before it runs. */
export interface Refusal {
  status: number;
  type: 'leaving' | 'pause' | 'model_not_loaded' | 'queue_full' | 'injected_error';
  message: string;
}

/** Engine state that the admission check depends on. */
export interface AdmissionState {
  faults: EngineFaultTable;
  loader: ModelLoader;
  scheduler: BatchScheduler;
  random: Random;
  leavingSinceMs: number | undefined;
}

/** Returns why the engine refuses a request, or undefined if it accepts the request. */
export function findRefusal(request: EngineRequest, state: AdmissionState): Refusal | undefined {
  const { model, version } = request;
  const leaving = state.faults.get('leaving');
  if (leaving && Date.now() - (state.leavingSinceMs ?? Date.now()) >= leaving.refuseAfterMs) {
    return { status: 503, type: 'leaving', message: 'the engine is leaving' };
  }
  if (state.faults.get('pause')) {
    return { status: 503, type: 'pause', message: 'the engine asks for a pause' };
  }
  const loaded = state.loader.find(model, version);
  if (!loaded) {
    const message = `${model}@${version ?? 'any'} is not loaded`;
    return { status: 404, type: 'model_not_loaded', message };
  }
  if (state.scheduler.isFull) {
    return { status: 429, type: 'queue_full', message: 'the queue is full' };
  }
  const failing = state.faults.get('errorRate');
  const isMatch =
    failing &&
    (failing.model ?? model) === model &&
    (failing.version ?? loaded.version) === loaded.version &&
    state.random.next() < failing.probability;
  if (!isMatch) return undefined;
  state.faults.take('errorRate');
  return { status: failing.status, type: 'injected_error', message: 'an injected error' };
}
