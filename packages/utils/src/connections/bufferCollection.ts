/** Bytes that are read from callers before their buffers are collected. */
const COLLECT_INTERVAL_BYTES = 16 * 1024 * 1024;

let readBytes = 0;

/**
 * Counts bytes that were read from callers. The garbage collector hardly sees the size of
 * buffers, so it is called in time where it is exposed (`--expose-gc`).
 */
export function recordReadBytes(bytes: number): void {
  readBytes += bytes;
  if (readBytes < COLLECT_INTERVAL_BYTES) return;
  readBytes = 0;
  globalThis.gc?.();
}
