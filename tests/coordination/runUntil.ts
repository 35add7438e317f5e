import type { ManualClock } from '@cactusstair/utils';

const MAX_STEPS = 20_000;

/** Lets pending promise callbacks run. */
export function runPending(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Advances the clock in steps until the promise settles. */
export async function runUntil<T>(clock: ManualClock, promise: Promise<T>, stepMs = 5): Promise<T> {
  let settled = false;
  const finish = () => {
    settled = true;
  };
  promise.then(finish, finish);
  for (let step = 0; step < MAX_STEPS; step += 1) {
    await runPending();
    if (settled) return promise;
    await clock.advance(stepMs);
  }
  throw new Error(`the promise did not settle within ${MAX_STEPS * stepMs} ms of clock time`);
}
