import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, limit). */
  nextInt(limit: number): number;
}

/** Creates a generator that returns the same sequence for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => uniformFloat64(generator),
    nextInt: (limit) => uniformInt(generator, 0, limit - 1),
  };
}
