/**
 * Sums over answers for a line through their paces by the load of their upstreams, both as
 * logarithms: count, load, pace, load squared, load times pace, pace squared. Sums of instances add
 * up.
 */
export type PaceSums = [
  count: number,
  load: number,
  pace: number,
  loadSquared: number,
  loadPace: number,
  paceSquared: number,
];

/** Paces of a version and of the others on answers of the same model. */
export interface PaceComparison {
  target: PaceSums;
  baseline: PaceSums;
}

/** Verdict on a version; `not_yet` means that there is not enough evidence. */
export interface PaceVerdict {
  verdict: 'worse' | 'not_worse' | 'not_yet';
  /** Typical pace of the version relative to the others under the same load. */
  ratio: number;
  /** Answers of the version that were compared. */
  answers: number;
}

/** Paces below this are not told apart. */
const MIN_PACE_MS = 5;
/** Answers of the others without which a model is not compared. */
const MIN_BASELINE_ANSWERS = 12;
const MIN_TARGET_ANSWERS = 5;
/** A version is worse if it is surely slower than the others by this factor. */
const WORSE_RATIO = 1.2;
/** A version is not worse if it is surely not slower than the others by this factor. */
const NOT_WORSE_RATIO = 1.45;
/** Standard errors that make a ratio sure; verdicts are sought again and again. */
const SURE_ERRORS = 2;
/** Smallest variance of the paces under one load, as logarithms. */
const MIN_VARIANCE = 0.02;

export function createPaceSums(): PaceSums {
  return [0, 0, 0, 0, 0, 0];
}

/**
 * Adds an answer.
 *
 * @param running requests at the upstream while it was answered
 */
export function addPaceSample(sums: PaceSums, running: number, paceMs: number): void {
  const load = Math.log1p(Math.max(0, running));
  const pace = Math.log(Math.max(MIN_PACE_MS, paceMs));
  addPaceSums(sums, [1, load, pace, load * load, load * pace, pace * pace]);
}

/** Adds other sums, or subtracts them with `sign` -1. */
export function addPaceSums(total: PaceSums, part: Readonly<PaceSums>, sign: 1 | -1 = 1): void {
  for (let index = 0; index < total.length; index += 1) total[index]! += sign * part[index]!;
}

/** Returns how much slower the target is than the baseline under its load, as a logarithm. */
function compareModel({ target, baseline }: PaceComparison): { gap: number; error: number } {
  const [count, load, pace, loadSquared, loadPace, paceSquared] = baseline;
  const meanLoad = load / count;
  const meanPace = pace / count;
  const spread = Math.max(0, loadSquared - count * meanLoad ** 2);
  const common = loadPace - count * meanLoad * meanPace;
  // Load never makes an answer faster.
  const slope = spread > 0 ? Math.max(0, common / spread) : 0;
  const rest = paceSquared - count * meanPace ** 2 - slope * common;
  const variance = Math.max(MIN_VARIANCE, rest / Math.max(1, count - 2));
  const [targetCount, targetLoad, targetPace] = target;
  const distance = targetLoad / targetCount - meanLoad;
  const gap = targetPace / targetCount - meanPace - slope * distance;
  const fit = spread > 0 ? distance ** 2 / spread : 0;
  return { gap, error: Math.sqrt(variance * (1 / targetCount + 1 / count + fit)) };
}

/**
 * Judges whether a version answers more slowly than the others do under the same load. A version
 * under rollout has few requests, so that its answers are quick even if a part of them takes several
 * times as long; at the last step it has nearly all requests, and is slower without being worse.
 *
 * Serves rollouts of seconds to minutes, in which the target has some tens of answers when the last
 * step is due.
 */
export function judgePace(models: readonly PaceComparison[]): PaceVerdict {
  let answers = 0;
  let gap = 0;
  let squaredError = 0;
  for (const model of models) {
    const [count] = model.target;
    if (count < 1 || model.baseline[0] < MIN_BASELINE_ANSWERS) continue;
    const compared = compareModel(model);
    answers += count;
    gap += count * compared.gap;
    squaredError += (count * compared.error) ** 2;
  }
  if (answers < MIN_TARGET_ANSWERS) return { verdict: 'not_yet', ratio: 1, answers };
  const mean = gap / answers;
  const ratio = Math.exp(mean);
  const sure = (SURE_ERRORS * Math.sqrt(squaredError)) / answers;
  if (mean - sure > Math.log(WORSE_RATIO)) return { verdict: 'worse', ratio, answers };
  const isNotWorse = mean + sure < Math.log(NOT_WORSE_RATIO);
  return { verdict: isNotWorse ? 'not_worse' : 'not_yet', ratio, answers };
}
