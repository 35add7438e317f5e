import { toPriority } from './waitingRequest.js';

/** A refused request that may come back. */
export interface ReturningRequest {
  workspace: string;
  priority: number;
  workMs: number;
  /** Earliest time from now at which a place is likely, in milliseconds. */
  earliestMs: number;
}

/** Options of `ReturnSchedule`. */
export interface ReturnScheduleOptions {
  /** Random number in [0, 1); spreads callers within a step. */
  random?: () => number;
}

/** Length of one step of the schedule. */
const STEP_MS = 100;
/** Callers are sent away for no longer than this; beyond it nothing can be foretold. */
const HORIZON_MS = 10_000;
/** Share of the rate that is reserved for callers who return; the rest is for new requests. */
const RETURN_SHARE = 0.5;
/** Part of what is reserved that the callers of one workspace may take. */
const WORKSPACE_SHARE = 0.5;
/** Part of what is reserved that is left to each lower priority, by steps of one priority. */
const PRIORITY_SHARE = 0.8;

interface Step {
  workMs: number;
  byWorkspace: Map<string, number>;
}

/**
 * Tells refused callers when to come back. Each time is counted as a reservation, so that callers
 * come back one after the other and not as one wave; lower priorities leave a part of each step to
 * higher ones, and one workspace cannot take all of a step. Serves callers who return when told to,
 * during a shortage of seconds.
 */
export class ReturnSchedule {
  private readonly steps = new Map<number, Step>();

  private readonly random: () => number;

  constructor(options: ReturnScheduleOptions = {}) {
    this.random = options.random ?? Math.random;
  }

  /**
   * Reserves a time and returns how long the caller should wait, in milliseconds.
   *
   * @param rate work that leaves the queue per millisecond
   */
  reserve(request: ReturningRequest, rate: number, nowMs: number): number {
    this.removeBefore(nowMs);
    const earliestMs = Math.min(HORIZON_MS, Math.max(0, request.earliestMs));
    const first = Math.ceil((nowMs + earliestMs) / STEP_MS);
    const last = Math.floor((nowMs + HORIZON_MS) / STEP_MS);
    const priority = toPriority(request.priority);
    const capacityMs = rate * STEP_MS * RETURN_SHARE * PRIORITY_SHARE ** priority;
    let returnIndex: number | undefined;
    let leftMs = request.workMs;
    for (let index = first; index < last && leftMs > 0; index += 1) {
      const takenMs = this.take(index, request.workspace, leftMs, capacityMs);
      if (takenMs > 0) returnIndex ??= index;
      leftMs -= takenMs;
    }
    if (returnIndex === undefined) {
      // All is reserved: the callers are spread over the second half of the schedule.
      return HORIZON_MS * (1 - this.random() / 2);
    }
    return Math.max(1, (returnIndex + this.random()) * STEP_MS - nowMs);
  }

  /** Reserves up to `workMs` in a step and returns how much was free. */
  private take(index: number, workspace: string, workMs: number, capacityMs: number): number {
    const step = this.steps.get(index) ?? { workMs: 0, byWorkspace: new Map<string, number>() };
    const ownMs = step.byWorkspace.get(workspace) ?? 0;
    const freeMs = Math.min(capacityMs - step.workMs, capacityMs * WORKSPACE_SHARE - ownMs);
    const takenMs = Math.min(workMs, freeMs);
    if (takenMs <= 0) return 0;
    step.workMs += takenMs;
    step.byWorkspace.set(workspace, ownMs + takenMs);
    this.steps.set(index, step);
    return takenMs;
  }

  private removeBefore(nowMs: number): void {
    const current = Math.floor(nowMs / STEP_MS);
    for (const index of this.steps.keys()) if (index < current) this.steps.delete(index);
  }
}
