/**
 * Cuts what a caller sends into slices that belong to one message each, without parsing it: framing is
 * left to the parser of Node.js.
 */

/** Bytes passed to the parser at a time. One-byte chunks of such a slice take 1 to 2 ms. */
export const SLICE_BYTES = 4 * 1024;
/** The same for a body without chunks, whose work does not depend on what the caller sends. */
const PLAIN_SLICE_BYTES = 16 * 1024;
/** Ends the head of each message, and a body in chunks. Node.js accepts no other line ends. */
const MESSAGE_MARK = '\r\n\r\n';
const ZERO_DIGIT = 0x30;
const LINE_FEED = 0x0a;
/** Begins the last chunk, which is empty; it may occur in the data of others. */
const LAST_CHUNK_MARK = '\r\n0';

/** How much of a body the parser has had. */
export interface BodyProgress {
  /** Bytes of the body that the parser has not had; undefined if the body comes in chunks. */
  leftBytes: number | undefined;
  /** Whether the parser may be in the trailers of a body in chunks. */
  mayBeInTrailers: boolean;
}

/** Returns the length of a slice up to the first mark at or after `fromIndex`. */
function measureToMark(chunk: Buffer, fromIndex: number): number {
  const markAt = chunk.subarray(0, SLICE_BYTES).indexOf(MESSAGE_MARK, fromIndex, 'latin1');
  return markAt < 0 ? Math.min(SLICE_BYTES, chunk.length) : markAt + MESSAGE_MARK.length;
}

/** Returns the length of a slice of a head, which must not hold another message as well. */
export function measureHead(chunk: Buffer): number {
  return measureToMark(chunk, 0);
}

/** Whether a slice may begin with the last chunk, the line end before it being in another slice. */
function beginsLastChunk(chunk: Buffer): boolean {
  return chunk[0] === ZERO_DIGIT || (chunk[0] === LINE_FEED && chunk[1] === ZERO_DIGIT);
}

/** Returns the length of a slice of a body, which must not hold the next message as well. */
export function measureBodySlice(message: BodyProgress, chunk: Buffer): number {
  if (message.leftBytes !== undefined) {
    const bytes = Math.min(PLAIN_SLICE_BYTES, Math.max(1, message.leftBytes), chunk.length);
    message.leftBytes -= bytes;
    return bytes;
  }
  if (message.mayBeInTrailers && chunk.indexOf('\r\n', 0, 'latin1') === 0) {
    message.mayBeInTrailers = false;
    return 2;
  }
  const window = chunk.subarray(0, SLICE_BYTES);
  const mayBeginLast = message.mayBeInTrailers || beginsLastChunk(chunk);
  const lastChunkAt = mayBeginLast ? 0 : window.indexOf(LAST_CHUNK_MARK, 0, 'latin1');
  if (lastChunkAt < 0) return window.length;
  const bytes = measureToMark(chunk, lastChunkAt);
  message.mayBeInTrailers = bytes === window.length;
  return bytes;
}
