import type { RunChances } from '../engine/runEstimate.js';
import {
  confidenceShares,
  estimateAdequacy,
  estimateAnswerAdequacy,
  estimateLargerAdequacy,
} from './adequacy.js';

/** What a run of one model size costs and when it completes. */
export interface SizeOption {
  /** Price of the run, in the unit of the answer's value. */
  price: number;
  /** Time of an engine that the run takes, in the unit of `averageWorkMs`. */
  workMs: number;
  /** Expected time in which an engine reads the prompt, and sends nothing to others meanwhile. */
  promptMs: number;
  /** Expected wait for the first event, which is when the confidence is known. */
  firstEventMs: number;
  /** Returns the chances of a run that starts after `delayMs`. */
  computeChances: (delayMs: number) => RunChances;
}

/** The sizes that can answer a request. */
export interface SizeChoiceRequest {
  /** From the smallest to the largest; undefined for one that cannot run. */
  sizes: readonly (SizeOption | undefined)[];
  /** Value of a good answer in time. */
  value: number;
  /** Load of the engines, from 0 (none waits) to 1 (full). */
  pressure: number;
  /** Average work of the requests to the service. */
  averageWorkMs: number;
  /** Time within which a first event is due. */
  latencyGoalMs: number;
  /** Whether an answer may be replaced by that of a larger size. */
  canEscalate: boolean;
}

/** An answer of which the confidence is known and nothing was sent to the caller. */
export interface AnswerAtHand {
  sizeIndex: number;
  confidence: number;
  /** Chances of the rest of its run. */
  chances: RunChances;
}

/** A choice and the expected value of each size, less its costs. */
export interface SizeChoice {
  sizeIndex: number;
  values: (number | undefined)[];
}

// An answer that is not good enough, or late, keeps this share of its value. The values of late
// answers differ from 0.1 to 0.78 by kind of request and are not in the configuration.
const POOR_SHARE = 0.05;
const LATE_SHARE = 0.3;
/** From this chance on, an answer counts as one that can be complete in time. */
const MIN_COMPLETION_CHANCE = 0.5;
// Cost of a slot in the request's value: pressure to this power, less for light work. With an
// exponent of 1.5, full work or twice the work share, engines of few slots replaced too few answers
// (docs/cascades.md).
const PRESSURE_EXPONENT = 2;
/** The same for the time in which the prompt is read, in latency goals. */
const PROMPT_EXPONENT = 2;

/** Expected value of an answer as a share of that of a good one in time. */
function estimateShare({ goalChance, deadlineChance }: RunChances, adequacy: number): number {
  const timely = goalChance + LATE_SHARE * (deadlineChance - goalChance);
  return timely * (POOR_SHARE + (1 - POOR_SHARE) * adequacy);
}

/**
 * Cost of the engine time that a run takes from others, beyond that of the smallest size. A prompt
 * that takes a large part of a latency goal to read makes others late at any load: a size ten times
 * slower than the platform's largest lost more answers of others than it improved.
 */
function estimateSlotCost(request: SizeChoiceRequest, option: SizeOption): number {
  const { sizes, value, pressure, averageWorkMs, latencyGoalMs } = request;
  const smallest = sizes.find((size) => size !== undefined);
  if (option === smallest) return 0;
  const total = option.workMs + averageWorkMs;
  // Work below the average takes less from others than a request of the same value gives.
  const workFactor = total > 0 ? Math.min(1, (2 * option.workMs) / total) : 1;
  const promptGoals = latencyGoalMs > 0 ? Math.min(1, option.promptMs / latencyGoalMs) : 0;
  return value * (pressure ** PRESSURE_EXPONENT * workFactor + promptGoals ** PROMPT_EXPONENT);
}

/** Value of a run whose answer is good enough with the chance `adequacy`, less its costs. */
function estimateRunValue(
  request: SizeChoiceRequest,
  option: SizeOption,
  delayMs: number,
  adequacy: number,
): number {
  const share = estimateShare(option.computeChances(delayMs), adequacy);
  return request.value * share - option.price - estimateSlotCost(request, option);
}

/**
 * Estimates the value of keeping an answer, and of replacing it by each larger size. A run that can
 * be complete in time is not dropped for one that cannot.
 */
function estimateReplacements(
  request: SizeChoiceRequest,
  answer: AnswerAtHand,
  delayMs: number,
): (number | undefined)[] {
  const { sizes, value, canEscalate } = request;
  const smaller = estimateAdequacy(answer.sizeIndex, sizes.length);
  const chance = estimateAnswerAdequacy(smaller, answer.confidence);
  const isCompletable = answer.chances.deadlineChance >= MIN_COMPLETION_CHANCE;
  return sizes.map((option, index) => {
    if (index === answer.sizeIndex) return value * estimateShare(answer.chances, chance);
    if (!option || !canEscalate || index < answer.sizeIndex) return undefined;
    const { deadlineChance } = option.computeChances(delayMs);
    if (isCompletable && deadlineChance < MIN_COMPLETION_CHANCE) return undefined;
    const larger = estimateAdequacy(index, sizes.length);
    const adequacy = estimateLargerAdequacy(chance, smaller, larger);
    return estimateRunValue(request, option, delayMs, adequacy);
  });
}

function findBest(values: readonly (number | undefined)[], fallback: number): number {
  let best = fallback;
  values.forEach((value, index) => {
    if (value !== undefined && value > (values[best] ?? -Infinity)) best = index;
  });
  return best;
}

/** Value of starting with a size whose answer may be replaced once its confidence is known. */
function estimateStartValue(request: SizeChoiceRequest, sizeIndex: number): number | undefined {
  const option = request.sizes[sizeIndex];
  if (!option) return undefined;
  const chances = option.computeChances(0);
  let expected = 0;
  for (const { confidence, share } of confidenceShares) {
    const answer = { sizeIndex, confidence, chances };
    const values = estimateReplacements(request, answer, option.firstEventMs);
    expected += share * values[findBest(values, sizeIndex)]!;
  }
  return expected - option.price - estimateSlotCost(request, option);
}

/**
 * Chooses the size that a request starts with, by expected value. Serves engines that are asked for
 * more than they can do in time as well as idle ones: at an idle engine the smallest size costs
 * little and most of its answers are good enough, and where a second run would be late, the size
 * that completes alone is better.
 */
export function chooseStartSize(request: SizeChoiceRequest): SizeChoice {
  const values = request.sizes.map((_, index) => estimateStartValue(request, index));
  const first = Math.max(
    0,
    request.sizes.findIndex((size) => size !== undefined),
  );
  return { sizeIndex: findBest(values, first), values };
}

/** Chooses whether the answer at hand is kept or which larger size replaces it. */
export function chooseReplacement(request: SizeChoiceRequest, answer: AnswerAtHand): SizeChoice {
  const values = estimateReplacements(request, answer, 0);
  return { sizeIndex: findBest(values, answer.sizeIndex), values };
}
