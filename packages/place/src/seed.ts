import { createHash } from 'node:crypto';

/** Derives the seed of one process from the seed of the cluster. */
export function deriveSeed(seed: number, name: string): number {
  return createHash('sha256').update(`${seed}/${name}`).digest().readUInt32BE() % 2 ** 31;
}
