import { createDictionary } from '@cactusstair/utils';

/**
 * What instances measure and share about the upstreams of a service: sums that add up over
 * instances and age with time.
 */

/**
 * Sums of one class of work: number of measured times and the sum of their logarithms (ms), then the
 * same for the durations of whole calls.
 */
export type ClassSums = [times: number, timeLogs: number, calls: number, callLogs: number];

/**
 * Sums of one upstream: for each band of occupied slots the weight of its samples and the weighted
 * sum of the logarithms of their times relative to their class. Empty bands at the end are left out.
 */
export type UpstreamSums = number[];

/** Sums of one service, keyed by class and by upstream id. */
export interface CapacitySums {
  classes: Record<string, ClassSums>;
  upstreams: Record<string, UpstreamSums>;
}

/** Bands of the share of an upstream's slots; those of an upstream with six slots are exact. */
export const BAND_COUNT = 6;
/** Numbers that describe one band. */
export const BAND_LENGTH = 2;
const CLASS_LENGTH = 4;
/** Bound on the logarithm of a time relative to its class: a factor of about 150. */
export const MAX_RELATIVE_LOG = 5;
/** Bound on the logarithm of a time in milliseconds: about half an hour. */
export const MAX_TIME_LOG = 14.5;
/** Weight that no sum reaches in a fleet of thousands of instances. */
const MAX_WEIGHT = 1e6;
/** Rounding moves a sum by at most this. */
const ROUNDING_MARGIN = 1;
// In a fleet of hundreds each instance has only a few hundredths of a sample for most bands.
const WEIGHT_UNITS = 100;
const LOG_UNITS = 1000;
/** Bounds the work that the message of a faulty instance can cause. */
const MAX_CLASSES = 500;
const MAX_UPSTREAMS = 2000;

export const NO_CLASS_SUMS: Readonly<ClassSums> = [0, 0, 0, 0];

export function createUpstreamSums(): UpstreamSums {
  return new Array<number>(BAND_COUNT * BAND_LENGTH).fill(0);
}

/** Rounds sums over several instances for sending. */
export function roundCapacitySums(sums: CapacitySums): CapacitySums {
  const rounded: CapacitySums = { classes: createDictionary(), upstreams: createDictionary() };
  for (const [name, part] of Object.entries(sums.classes)) {
    const kept = roundSums(part);
    if (kept)
      rounded.classes[name] = NO_CLASS_SUMS.map((_, index) => kept[index] ?? 0) as ClassSums;
  }
  for (const [id, part] of Object.entries(sums.upstreams)) {
    const kept = roundSums(part);
    if (kept) rounded.upstreams[id] = kept;
  }
  return rounded;
}

/** Adds `part` to `total`, which may be shorter. */
export function addNumbers(total: number[], part: readonly number[]): void {
  part.forEach((value, index) => {
    total[index] = (total[index] ?? 0) + value;
  });
}

export function addCapacitySums(total: CapacitySums, part: CapacitySums): void {
  for (const [name, sums] of Object.entries(part.classes)) {
    addNumbers((total.classes[name] ??= [0, 0, 0, 0]), sums);
  }
  for (const [id, sums] of Object.entries(part.upstreams)) {
    addNumbers((total.upstreams[id] ??= []), sums);
  }
}

/** Rounds sums for sending; returns undefined if no weight remains. */
function roundSums(sums: readonly number[]): number[] | undefined {
  const rounded = sums.map((value, index) => {
    const weight = sums[index - (index % BAND_LENGTH)]!;
    // Sums without their weight would be means out of range.
    if (Math.round(weight * WEIGHT_UNITS) === 0) return 0;
    // Sums of many samples need fewer digits for the same mean.
    const scale = 10 ** Math.min(2, Math.floor(Math.log10(Math.max(1, weight))));
    const units = (index % BAND_LENGTH === 0 ? WEIGHT_UNITS : LOG_UNITS) / scale;
    return Math.round(value * units) / units;
  });
  while (rounded.length > 0 && rounded.at(-1) === 0 && rounded.at(-BAND_LENGTH) === 0) {
    rounded.length -= BAND_LENGTH;
  }
  return rounded.length > 0 ? rounded : undefined;
}

/** Whether a value is a list of pairs of a weight and a sum whose mean is at most `maxLog`. */
function isPairs(value: unknown, length: { min: number; max: number }, maxLog: number): boolean {
  if (!Array.isArray(value) || value.length % BAND_LENGTH !== 0) return false;
  if (value.length < length.min || value.length > length.max) return false;
  return value.every((amount: unknown, index) => {
    if (typeof amount !== 'number' || !Number.isFinite(amount)) return false;
    if (index % BAND_LENGTH === 0) return amount >= 0 && amount <= MAX_WEIGHT;
    const weight = value[index - 1] as number;
    return Math.abs(amount) <= weight * maxLog + ROUNDING_MARGIN;
  });
}

function listValues(value: unknown, maxCount: number): unknown[] | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return undefined;
  const values = Object.values(value);
  return values.length <= maxCount ? values : undefined;
}

/** Whether a value from another instance holds the sums of one service. */
export function isCapacitySums(value: unknown): value is CapacitySums {
  if (typeof value !== 'object' || value === null) return false;
  const { classes, upstreams } = value as Partial<CapacitySums>;
  const classSums = listValues(classes, MAX_CLASSES);
  const upstreamSums = listValues(upstreams, MAX_UPSTREAMS);
  if (!classSums || !upstreamSums) return false;
  const classLength = { min: CLASS_LENGTH, max: CLASS_LENGTH };
  const upstreamLength = { min: 0, max: BAND_COUNT * BAND_LENGTH };
  return (
    classSums.every((sums) => isPairs(sums, classLength, MAX_TIME_LOG)) &&
    upstreamSums.every((sums) => isPairs(sums, upstreamLength, MAX_RELATIVE_LOG))
  );
}
