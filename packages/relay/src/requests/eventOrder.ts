const EVENT_ID = /^\d{1,15}$/;

function parseEventId(id: string | undefined): number | undefined {
  return id !== undefined && EVENT_ID.test(id) ? Number(id) : undefined;
}

/** What to do with an event: pass it on, drop it, or give up its run. */
export type EventKind = 'new' | 'repeated' | 'out_of_order';

/**
 * Follows the ids of a stream's events, which rise, mostly by one. An id is spoilt if it does not
 * fit those around it: the event is passed on as it came, but no other upstream can go on after it
 * until the ids fit again.
 */
export class EventOrder {
  /** Last id that fits those before it. */
  private lastSound: number | undefined;

  /** Id of the last event, if it is a number. */
  private last: number | undefined;

  private lastBytes: Buffer | undefined;

  private lastId: string | undefined;

  /** Events since the last one whose id fits. */
  private unsoundCount = 0;

  /** Whether ids have risen by more than one. */
  private hasGaps = false;

  /** Whether the run that goes on sent events last that may not be the repeats they look like. */
  private hasDoubtfulRepeat = false;

  /** Whether the first id is the one expected, or an id has fitted those before it. */
  private isConfirmed = false;

  /** Id with which the stream should begin: 1, or the one after the caller's. */
  private readonly expectedFirst: number;

  /** @param callerLastEventId id after which the caller goes on with its own stream */
  constructor(callerLastEventId?: string) {
    this.expectedFirst = (parseEventId(callerLastEventId) ?? 0) + 1;
  }

  /** Last id as it came; undefined before the first. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Whether no event has come, or another upstream can go on after the last one. */
  get canResume(): boolean {
    if (this.lastBytes === undefined) return true;
    return this.isConfirmed && this.unsoundCount === 0;
  }

  /** Whether the current run may end here: none of the events that were dropped was a new one. */
  get canEnd(): boolean {
    return !this.hasDoubtfulRepeat;
  }

  /** Starts a run that goes on after the last event. */
  startResumedRun(): void {
    this.hasDoubtfulRepeat = false;
  }

  /**
   * Records an event of the first run. It is passed on whatever its id, unless it is the one before
   * once more: an upstream in trouble may repeat that forever.
   */
  record(id: string | undefined, bytes: Buffer): EventKind {
    const number = parseEventId(id);
    if (number !== undefined && this.lastBytes?.equals(bytes)) return 'repeated';
    if (number !== undefined && this.isSound(number)) {
      // A first id can be compared with no id before it.
      this.isConfirmed ||= this.lastBytes !== undefined || number === this.expectedFirst;
      this.lastSound = number;
      this.unsoundCount = 0;
    } else this.unsoundCount += 1;
    this.last = number;
    this.lastBytes = bytes;
    this.lastId = id ?? this.lastId;
    return 'new';
  }

  /** Classifies and records an event of a run that goes on after the last event. */
  recordResumed(id: string | undefined, bytes: Buffer): EventKind {
    const number = parseEventId(id);
    if (number === undefined || this.lastSound === undefined) return 'out_of_order';
    if (number <= this.lastSound) {
      // Only the last event is still known; any other has to lead up to the one that follows it.
      this.hasDoubtfulRepeat = !this.lastBytes?.equals(bytes);
      return 'repeated';
    }
    const canSkip = this.hasGaps && !this.hasDoubtfulRepeat;
    if (number > this.lastSound + 1 && !canSkip) return 'out_of_order';
    this.hasDoubtfulRepeat = false;
    return this.record(id, bytes);
  }

  private isSound(number: number): boolean {
    const { last, lastSound, unsoundCount } = this;
    if (lastSound === undefined) return unsoundCount === 0 || number === (last ?? NaN) + 1;
    if (number === lastSound + unsoundCount + 1) return true;
    if (last === undefined || unsoundCount === 0) return false;
    if (number === last + 1) return true;
    const isRising = lastSound < last && last < number;
    this.hasGaps ||= isRising;
    return isRising;
  }
}
