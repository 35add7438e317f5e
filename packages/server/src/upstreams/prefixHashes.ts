import { hashPrefixBlocks } from '@cactusstair/utils';

/** Block size of the engines' prefix caches in characters. */
const BLOCK_CHARACTERS = 64;

/** Maximum number of blocks to hash. Prompts with a longer common prefix share these blocks. */
const MAX_BLOCKS = 64;

/** Returns the cumulative hashes of the prompt's leading blocks, shortest prefix first. */
export function computePrefixHashes(prompt: string): string[] {
  return hashPrefixBlocks(prompt.slice(0, BLOCK_CHARACTERS * MAX_BLOCKS), BLOCK_CHARACTERS);
}
