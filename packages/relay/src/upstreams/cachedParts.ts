import { hashText } from '@cactusstair/utils';

/** Hash of a prompt part and its model. It takes the same memory for any id. */
export type PartKey = number;

/** Prompt parts remembered per engine; an engine's memory holds a few hundred of the longest. */
const MAX_CACHED_PARTS = 2000;

/** Returns a signed 32-bit integer, which V8 keeps in the collection itself. */
export function computePartKey(model: string, partId: string): PartKey {
  return hashText(`${model}/${partId}`) | 0;
}

/**
 * Prompt parts that were sent to one upstream lately. Two parts with the same hash count as one, which
 * costs a less fitting choice of an upstream.
 */
export class CachedParts {
  /** In the order in which they were last sent. */
  private readonly keys = new Set<PartKey>();

  has(key: PartKey): boolean {
    return this.keys.has(key);
  }

  record(key: PartKey): void {
    this.keys.delete(key);
    this.keys.add(key);
    if (this.keys.size <= MAX_CACHED_PARTS) return;
    const oldest = this.keys.values().next();
    if (!oldest.done) this.keys.delete(oldest.value);
  }

  clear(): void {
    this.keys.clear();
  }
}
