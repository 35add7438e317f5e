/** One event of a stream, with the blank line that ends it. */
export interface StreamEvent {
  /** Value of the `id` field; undefined when the event has none. */
  id: string | undefined;
  bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bounds the memory that an event without an end can take; events of these streams are smaller. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Returns the index after the blank line that ends the first event in `bytes`, or -1. */
function findEventEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function parseEventId(bytes: Buffer): string | undefined {
  const match = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(bytes.toString('latin1'));
  return match?.[1];
}

/** Splits a byte stream into whole server-sent events and buffers an incomplete one. */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /**
   * Appends `chunk` and returns the events that it completes.
   *
   * @throws RangeError when an event is longer than 1 MiB.
   */
  split(chunk: Buffer): StreamEvent[] {
    let bytes = this.partialEvent.length > 0 ? Buffer.concat([this.partialEvent, chunk]) : chunk;
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(bytes, 0);
      if (end < 0) break;
      const event = bytes.subarray(0, end);
      events.push({ id: parseEventId(event), bytes: event });
      bytes = bytes.subarray(end);
    }
    if (bytes.length > MAX_EVENT_BYTES) throw new RangeError('an event is longer than 1 MiB');
    this.partialEvent = bytes;
    return events;
  }
}
