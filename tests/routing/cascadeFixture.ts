import { CascadePolicy } from '@cactusstair/routing';
import type { CascadePolicyOptions, CascadeRequest, RungInfo } from '@cactusstair/routing';
import { createRandom, ManualClock } from '@cactusstair/utils';

export const rungs: RungInfo[] = [
  { model: 'small', version: 'v1', expectedCost: 1, expectedLatencyMs: 200 },
  { model: 'medium', version: 'v1', expectedCost: 4, expectedLatencyMs: 500 },
  { model: 'large', version: 'v1', expectedCost: 15, expectedLatencyMs: 1500 },
];
export const TARGET = 0.7;
export const TARGET_SHARE = 0.9;

export function createRequest(changes: Partial<CascadeRequest> = {}): CascadeRequest {
  return {
    workspace: 'club',
    requestClass: 'short',
    cascade: { name: 'reviews', qualityTarget: TARGET, targetShare: TARGET_SHARE },
    rungs,
    deadlineMs: 10_000,
    streaming: false,
    ...changes,
  };
}

export function createPolicy(options: CascadePolicyOptions = {}): {
  policy: CascadePolicy;
  clock: ManualClock;
} {
  const clock = new ManualClock(1_000_000);
  const policy = new CascadePolicy({
    instance: 'a',
    incarnation: 1,
    clock,
    random: createRandom(11),
    ...options,
  });
  return { policy, clock };
}

/** Records `count` ratings, `met` percent of which reach the target. */
export function recordRatings(
  policy: CascadePolicy,
  rung: number,
  met: number,
  { workspace = 'club', count = 100 } = {},
): void {
  const info = rungs[rung];
  if (!info) return;
  const { model, version } = info;
  for (let index = 0; index < count; index += 1) {
    const rating = (index * 37) % 100 < met ? 0.9 : 0.3;
    policy.recordRating({ workspace, requestClass: 'short', model, version, rating });
  }
}
