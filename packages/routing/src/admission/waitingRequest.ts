/** Properties of a request on which its place in the queue depends. */
export interface WaitingRequest {
  /** Empty for callers without a workspace; they share like one. */
  workspace: string;
  /** 0 is served first. */
  priority: number;
  /** Whether the request resumes a stream that the caller is already receiving. */
  isResumed: boolean;
  /** Monotonic time at which the caller's request arrived; a retry keeps it. */
  arrivedMs: number;
  /** Latest monotonic time of a start after which the answer is still within the latency goal. */
  goalStartMs: number;
  /** Latest monotonic time of a start after which the answer can still be complete in time. */
  latestStartMs: number;
  /** Time for which the request is expected to occupy a place, in milliseconds. */
  workMs: number;
  /** What the caller receives, in any unit that is the same for all requests of the service. */
  value: number;
}

/** Priority of requests whose own is missing or makes no sense. */
export const DEFAULT_PRIORITY = 1;
/** Priorities beyond this one are served like it. */
export const MAX_PRIORITY = 9;
const MIN_WORK_MS = 1;
/** One request counts as at most this much work, so that one absurd estimate stops no queue. */
const MAX_WORK_MS = 600_000;
const MIN_VALUE = 1e-3;
const MAX_VALUE = 1e6;

function limitAmount(value: number, min: number, max: number, fallback: number): number {
  return Number.isFinite(value) ? Math.min(max, Math.max(min, value)) : fallback;
}

/** Returns a priority from 0 to 9; the default one for a value that is negative or no number. */
export function toPriority(priority: number): number {
  if (!Number.isFinite(priority) || priority < 0) return DEFAULT_PRIORITY;
  return Math.min(MAX_PRIORITY, Math.round(priority));
}

/**
 * Replaces values that are missing, negative, huge or no numbers, which would break the order of
 * all requests.
 */
export function normalizeWaiting(request: WaitingRequest, nowMs: number): WaitingRequest {
  const latestStartMs = Number.isNaN(request.latestStartMs) ? Infinity : request.latestStartMs;
  const goalStartMs = Number.isNaN(request.goalStartMs) ? latestStartMs : request.goalStartMs;
  return {
    workspace: request.workspace,
    priority: toPriority(request.priority),
    isResumed: request.isResumed,
    arrivedMs: limitAmount(request.arrivedMs, -Infinity, nowMs, nowMs),
    goalStartMs: Math.min(goalStartMs, latestStartMs),
    latestStartMs,
    workMs: limitAmount(request.workMs, MIN_WORK_MS, MAX_WORK_MS, MIN_WORK_MS),
    value: limitAmount(request.value, MIN_VALUE, MAX_VALUE, 1),
  };
}
