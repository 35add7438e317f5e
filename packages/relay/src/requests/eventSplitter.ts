import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** One event of a stream, with the blank line that ends it. */
export interface StreamEvent {
  /** Value of the `id` field; undefined when the event has none, or may be more than one event. */
  id: string | undefined;
  bytes: Buffer;
  /** Whether `bytes` starts with text that belongs to no event and is no comment. */
  hasForeignText: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bounds the memory that one stream can take, as an upstream may send an event without an end. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Length of the longest text by which `EVENT_LINE` recognizes a line. */
const LINE_PREFIX_LENGTH = 5;
/** Start of a line that makes its block an event: a block of comments or other fields is none. */
const EVENT_LINE = /^(?:id|data)(?::|\r|$)/;

/**
 * Matches an event with one id, followed by nothing but fields of an event. What else follows may be
 * the start of the next event, if the blank line between them was spoilt.
 */
const SINGLE_EVENT =
  /^(?:(?!id:)[^\n]*\n)*id:[ ]?([^\r\n]*)\r?\n(?:(?:data|event|retry)(?::[^\n]*|\r?)\n)*\r?\n$/;

function parseEventId(bytes: Buffer): string | undefined {
  return SINGLE_EVENT.exec(bytes.toString('latin1'))?.[1];
}

/**
 * Splits a byte stream into whole server-sent events and buffers an incomplete one. Comments and
 * blank lines are kept with the event that follows them, so that a stream of nothing else counts
 * as one event without an end.
 */
export class EventSplitter {
  /** Bytes that belong to no complete event; its capacity doubles as needed. */
  private pending: Buffer = Buffer.alloc(0);

  private pendingLength = 0;

  /** Length of the current line, and its first characters. */
  private lineLength = 0;

  private linePrefix = '';

  /** Whether a line of the current block makes it an event. */
  private hasEventLine = false;

  /** Whether the current block has a line that is no comment. */
  private hasFieldLine = false;

  private hasForeignBlock = false;

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.hasFieldLine || this.lineLength > 0;
  }

  /** Whether text that belongs to no event and is no comment followed the last event. */
  get hasForeignText(): boolean {
    return this.hasForeignBlock;
  }

  /** Returns the comments and blank lines that followed the last event. */
  get trailingBytes(): Buffer {
    return this.pending.subarray(0, this.pendingLength);
  }

  /**
   * Appends `chunk` and returns the events that it completes, or why the stream cannot be split.
   * The work is linear in the length of the chunk.
   */
  split(chunk: Buffer): Result<StreamEvent[], string> {
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let lineStart = 0;
    for (;;) {
      const lineEnd = chunk.indexOf(LINE_FEED, lineStart);
      this.extendLine(chunk, lineStart, lineEnd < 0 ? chunk.length : lineEnd);
      if (lineEnd < 0) break;
      lineStart = lineEnd + 1;
      if (this.endLine()) {
        const bytes = this.takeEvent(chunk.subarray(eventStart, lineStart));
        events.push({ id: parseEventId(bytes), bytes, hasForeignText: this.hasForeignBlock });
        this.hasForeignBlock = false;
        eventStart = lineStart;
      }
    }
    const rest = chunk.subarray(eventStart);
    if (this.pendingLength + rest.length > MAX_EVENT_BYTES) {
      return err(`an event is longer than ${MAX_EVENT_BYTES} bytes`);
    }
    this.append(rest);
    return ok(events);
  }

  private extendLine(chunk: Buffer, start: number, end: number): void {
    if (this.linePrefix.length < LINE_PREFIX_LENGTH) {
      const missing = LINE_PREFIX_LENGTH - this.linePrefix.length;
      this.linePrefix += chunk.toString('latin1', start, Math.min(end, start + missing));
    }
    this.lineLength += end - start;
  }

  /** Ends the current line and returns whether it completes an event. */
  private endLine(): boolean {
    const isBlank =
      this.lineLength === 0 ||
      (this.lineLength === 1 && this.linePrefix.charCodeAt(0) === CARRIAGE_RETURN);
    if (!isBlank) {
      this.hasEventLine ||= EVENT_LINE.test(this.linePrefix);
      this.hasFieldLine ||= !this.linePrefix.startsWith(':');
    }
    this.lineLength = 0;
    this.linePrefix = '';
    return isBlank && this.endBlock();
  }

  /** Ends the current block and returns whether it is an event. */
  private endBlock(): boolean {
    const isEvent = this.hasEventLine;
    this.hasForeignBlock ||= this.hasFieldLine && !isEvent;
    this.hasEventLine = false;
    this.hasFieldLine = false;
    return isEvent;
  }

  /** Returns the pending bytes followed by `end`. */
  private takeEvent(end: Buffer): Buffer {
    if (this.pendingLength === 0) return end;
    const event = Buffer.concat([this.trailingBytes, end]);
    this.pendingLength = 0;
    return event;
  }

  private append(bytes: Buffer): void {
    const length = this.pendingLength + bytes.length;
    if (length > this.pending.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, 2 * this.pending.length));
      this.pending.copy(grown, 0, 0, this.pendingLength);
      this.pending = grown;
    }
    bytes.copy(this.pending, this.pendingLength);
    this.pendingLength = length;
  }
}
