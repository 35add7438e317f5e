/** One event of a stream, with the blank line that ends it. */
export interface StreamEvent {
  /** The event's id; undefined when it has none. */
  id: string | undefined;
  bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** An event above this size is no event of these streams; it would hold memory without end. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Finds the end of the first event in `bytes`: the index after its blank line, or -1. */
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

/** Cuts the bytes of a stream into whole events; a piece of an event stays until it is whole. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an unfinished event are held. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /**
   * Returns the events that are whole with `chunk`.
   *
   * @throws RangeError when an event is longer than 1 MiB.
   */
  split(chunk: Buffer): StreamEvent[] {
    let bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: StreamEvent[] = [];
    for (;;) {
      const end = findEventEnd(bytes, 0);
      if (end < 0) break;
      const event = bytes.subarray(0, end);
      events.push({ id: parseEventId(event), bytes: event });
      bytes = bytes.subarray(end);
    }
    if (bytes.length > MAX_EVENT_BYTES) throw new RangeError('an event is longer than 1 MiB');
    this.rest = bytes;
    return events;
  }
}
