import type { UpstreamSums } from './capacitySums.js';
import { BAND_COUNT, BAND_LENGTH } from './capacitySums.js';

/**
 * Derives how the time of a request depends on the concurrency at an upstream, and the concurrency
 * that the upstream handles well. All times are logarithms relative to the mean of the service.
 */

/** What the upstreams of a service have in common. */
export interface CapacityShape {
  /** Growth of the time from each band to the next. */
  growth: readonly number[];
  /** Mean time in the lowest band. */
  level: number;
}

/** Logarithm of the relative time by band, non-decreasing. */
export type CapacityCurve = readonly number[];

/** Weight of the assumption that load does not slow a service down, in samples. */
const SHAPE_PRIOR_WEIGHT = 4;
/** Weight of the assumption that an upstream is like the others of its service, in samples. */
const UPSTREAM_PRIOR_WEIGHT = 3;
/** Growth from one band to the next that the service's shape assumes at most: a factor of 3. */
const MAX_GROWTH_LOG = Math.log(3);
/**
 * The limit maximizes concurrency over time to this power. With 1.5 a further request has to add at
 * least a third of its share to the throughput, whatever it costs in time.
 */
const TIME_POWER = 1.5;
/** The largest limit within this distance of the maximum is used, so that noise rarely lowers it. */
const LIMIT_TOLERANCE = 0.1;

function getWeight(sums: UpstreamSums, band: number): number {
  return sums[band * BAND_LENGTH] ?? 0;
}

function getMean(sums: UpstreamSums, band: number): number {
  return (sums[band * BAND_LENGTH + 1] ?? 0) / getWeight(sums, band);
}

/**
 * Derives the shape that the upstreams of a service have in common. Only differences within one
 * upstream count: a slow upstream has more requests in progress than a fast one at the same rate.
 */
export function deriveShape(all: readonly UpstreamSums[]): CapacityShape {
  const growth = new Array<number>(BAND_COUNT).fill(0);
  const weights = new Array<number>(BAND_COUNT).fill(SHAPE_PRIOR_WEIGHT);
  for (const sums of all) {
    for (let band = 1; band < BAND_COUNT; band += 1) {
      const below = getWeight(sums, band - 1);
      const here = getWeight(sums, band);
      if (below <= 0 || here <= 0) continue;
      const weight = (below * here) / (below + here);
      weights[band]! += weight;
      growth[band]! += weight * (getMean(sums, band) - getMean(sums, band - 1));
    }
  }
  const bounded = growth.map((sum, band) =>
    Math.min(MAX_GROWTH_LOG, Math.max(0, sum / weights[band]!)),
  );
  const total = { sum: 0, weight: 0 };
  for (const sums of all) {
    const { sum, weight } = sumLevels(sums, bounded);
    // Each upstream counts alike, however many requests it gets.
    const share = weight / (weight + UPSTREAM_PRIOR_WEIGHT);
    if (weight > 0) total.sum += (share * sum) / weight;
    total.weight += share;
  }
  return { growth: bounded, level: total.weight > 0 ? total.sum / total.weight : 0 };
}

/** Sums the distances of an upstream's bands from the growth of the service. */
function sumLevels(sums: UpstreamSums, growth: readonly number[]): { sum: number; weight: number } {
  const total = { sum: 0, weight: 0 };
  let expected = 0;
  for (let band = 0; band < BAND_COUNT; band += 1) {
    expected += growth[band]!;
    const weight = getWeight(sums, band);
    if (weight > 0) total.sum += weight * (getMean(sums, band) - expected);
    total.weight += weight;
  }
  return total;
}

/** Makes a curve non-decreasing by replacing falling stretches with their weighted mean. */
function makeMonotone(values: readonly number[], weights: readonly number[]): number[] {
  const blocks: { sum: number; weight: number; length: number }[] = [];
  values.forEach((value, index) => {
    let block = { sum: value * weights[index]!, weight: weights[index]!, length: 1 };
    for (;;) {
      const previous = blocks.at(-1);
      if (!previous || previous.sum / previous.weight <= block.sum / block.weight) break;
      blocks.pop();
      block = {
        sum: previous.sum + block.sum,
        weight: previous.weight + block.weight,
        length: previous.length + block.length,
      };
    }
    blocks.push(block);
  });
  return blocks.flatMap(({ sum, weight, length }) => new Array<number>(length).fill(sum / weight));
}

/**
 * Derives the curve of an upstream from its sums. A band with few samples is taken to be the shape's
 * growth above the band below it.
 */
export function deriveCurve(sums: UpstreamSums, shape: CapacityShape): CapacityCurve {
  const { growth, level } = shape;
  const own = sumLevels(sums, growth);
  const values: number[] = [];
  const weights: number[] = [];
  let below = (own.sum + UPSTREAM_PRIOR_WEIGHT * level) / (own.weight + UPSTREAM_PRIOR_WEIGHT);
  for (let band = 0; band < BAND_COUNT; band += 1) {
    const weight = getWeight(sums, band);
    const prior = UPSTREAM_PRIOR_WEIGHT * (below + growth[band]!);
    const measured = weight > 0 ? weight * getMean(sums, band) : 0;
    below = (prior + measured) / (UPSTREAM_PRIOR_WEIGHT + weight);
    values.push(below);
    weights.push(UPSTREAM_PRIOR_WEIGHT + weight);
  }
  return makeMonotone(values, weights);
}

/** Returns the band of a concurrency. */
export function findBand(running: number, slots: number): number {
  const position = Math.ceil((Math.round(running) * BAND_COUNT) / slots);
  return Math.min(BAND_COUNT, Math.max(1, position)) - 1;
}

/** Returns the relative time at a concurrency, as a logarithm, interpolated between the bands. */
export function readCurve(curve: CapacityCurve, running: number, slots: number): number {
  const scaled = (running * BAND_COUNT) / slots;
  // A band is represented by the middle of the concurrencies that it covers.
  const offset = 0.5 + 0.5 * Math.min(1, BAND_COUNT / slots);
  const position = Math.min(BAND_COUNT - 1, Math.max(0, scaled - offset));
  const band = Math.floor(position);
  const next = Math.min(BAND_COUNT - 1, band + 1);
  const value = curve[band]! + (position - band) * (curve[next]! - curve[band]!);
  // Requests beyond the slots wait for their turn.
  return value + Math.log(Math.max(1, running / slots));
}

/** Returns the largest concurrency up to which more requests bring more throughput. */
export function findLimit(curve: CapacityCurve, slots: number): number {
  const getScore = (running: number) =>
    Math.log(running) - TIME_POWER * readCurve(curve, running, slots);
  let best = -Infinity;
  for (let running = 1; running <= slots; running += 1) best = Math.max(best, getScore(running));
  for (let running = Math.floor(slots); running > 1; running -= 1) {
    if (getScore(running) >= best - LIMIT_TOLERANCE) return running;
  }
  return 1;
}
