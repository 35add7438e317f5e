/**
 * Orders the prompts that wait at one engine. Serves engines that read prompts for most of their
 * time: shortest first keeps the mean wait low, and an engine serves the most requests in time when
 * a long prompt does not hold up many short ones.
 */

/** Properties of a request on which its urgency depends. */
export interface UrgencyRequest {
  /** Expected time to read the prompt, in milliseconds. */
  prefillMs: number;
  /** Priority of the request; 0 is served first. */
  priority: number;
  /** Whether the request resumes a stream that the caller is already receiving. */
  isResumed: boolean;
}

/** Lowest urgency that engines accept; 0 is the highest. */
const MIN_URGENCY = 9;
/** Urgency of a request that resumes a stream: its caller sees a pause until it runs again. */
const RESUME_URGENCY = 1;
/** Urgency of the shortest prompts at priority 0. */
const BASE_URGENCY = 2;
/** Longest prompt of the first level, in milliseconds; each further level is twice as long. */
const SHORT_PREFILL_MS = 25;
const MAX_LENGTH_LEVEL = 5;
/** Priorities beyond this one are served like it. */
const MAX_PRIORITY_LEVEL = 2;

/** Returns the urgency of a request at an engine, from 0 (first) to 9. */
export function computeUrgency({ prefillMs, priority, isResumed }: UrgencyRequest): number {
  if (isResumed) return RESUME_URGENCY;
  const doublings = Math.ceil(Math.log2(Math.max(1, prefillMs / SHORT_PREFILL_MS)));
  const lengthLevel = Math.min(MAX_LENGTH_LEVEL, doublings);
  const priorityLevel = Math.min(MAX_PRIORITY_LEVEL, Math.max(0, Math.round(priority)));
  return Math.min(MIN_URGENCY, BASE_URGENCY + lengthLevel + priorityLevel);
}
