import { hashText } from './textHash.js';

/**
 * Splits a prompt into blocks of `blockChars` characters and returns the chained hash of each.
 * A shorter block at the end is left out.
 */
export function hashPrefixBlocks(prompt: string, blockChars: number): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let end = blockChars; end <= prompt.length; end += blockChars) {
    previous = hashText(previous + prompt.slice(end - blockChars, end))
      .toString(16)
      .padStart(8, '0');
    hashes.push(previous);
  }
  return hashes;
}
