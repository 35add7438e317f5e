import type { LogNormal } from './logSums.js';
import { computeChance, computeQuantile } from './logSums.js';

/** Standard deviations from the median to the quantile of 0.9. */
const HIGH_QUANTILE_DEVIATIONS = 1.2816;
const MIN_DEVIATION = 0.1;
const MAX_DEVIATION = 1.5;

/** What is known of a run before it starts, or of the rest of one that goes on. */
export interface RunParts {
  /** Wait for the first event, or for the next one of a run that goes on. */
  firstEvent: LogNormal;
  /** Mean time between two events. */
  pace: LogNormal;
  /** Number of events that follow the first one. */
  events: LogNormal;
  /** Time left until the first event is late; not positive when it is late already. */
  goalLeftMs: number;
  /** Time left until the answer has to be complete. */
  deadlineLeftMs: number;
}

/** Chances of an answer. */
export interface RunChances {
  /** Chance that the first event is in time and the answer is complete by its deadline. */
  goalChance: number;
  /** Chance that the answer is complete by its deadline. */
  deadlineChance: number;
}

/** When a run is expected to send its first event and to complete, from now on. */
export interface RunEstimate extends RunChances {
  firstEventMs: number;
  /** Quantile of 0.9. */
  highFirstEventMs: number;
  completionMs: number;
  /** Quantile of 0.9. */
  highCompletionMs: number;
  /** Returns the chances if the run starts later by `delayMs`. */
  computeChances: (delayMs: number) => RunChances;
}

/** Adds up the parts of a run, as a log-normal distribution of the same median and spread. */
function sumParts({ firstEvent, pace, events }: RunParts): LogNormal {
  const streamMs = pace.median * events.median;
  const median = firstEvent.median + streamMs;
  const spreadMs = Math.hypot(
    firstEvent.median * firstEvent.deviation,
    streamMs * pace.deviation,
    streamMs * events.deviation,
  );
  const deviation = median > 0 ? spreadMs / median : MIN_DEVIATION;
  return { median, deviation: Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, deviation)) };
}

/** Estimates when a run completes and how likely it is to do so in time. */
export function createRunEstimate(parts: RunParts): RunEstimate {
  const { firstEvent, goalLeftMs, deadlineLeftMs } = parts;
  const completion = sumParts(parts);
  const computeChances = (delayMs: number): RunChances => {
    const deadlineChance = computeChance(completion, deadlineLeftMs - delayMs);
    const goalChance = deadlineChance * computeChance(firstEvent, goalLeftMs - delayMs);
    return { goalChance, deadlineChance };
  };
  return {
    firstEventMs: firstEvent.median,
    highFirstEventMs: computeQuantile(firstEvent, HIGH_QUANTILE_DEVIATIONS),
    completionMs: completion.median,
    highCompletionMs: computeQuantile(completion, HIGH_QUANTILE_DEVIATIONS),
    ...computeChances(0),
    computeChances,
  };
}
