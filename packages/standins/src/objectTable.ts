/** An object of the object API. */
export interface StoredObject {
  kind: string;
  name: string;
  /** Counts the writes to this object since it was created. */
  version: number;
  /** Store-wide number of the last write to this object. */
  revision: number;
  value: unknown;
}

/** One event of a watch or of the history. */
export type StoreEvent =
  | { type: 'put'; object: StoredObject }
  | { type: 'delete'; kind: string; name: string; revision: number };

/** Condition of a write: the expected version, or that the object does not exist. */
export type WriteCondition = { type: 'version'; version: number } | { type: 'absent' };

export type WriteOutcome =
  | { type: 'created' | 'updated'; object: StoredObject }
  | { type: 'deleted'; revision: number }
  | { type: 'conflict'; current: StoredObject }
  | { type: 'not_found' };

/** Returns the revision of an event. */
export function getEventRevision(event: StoreEvent): number {
  return event.type === 'put' ? event.object.revision : event.revision;
}

/** Returns the kind of an event. */
export function getEventKind(event: StoreEvent): string {
  return event.type === 'put' ? event.object.kind : event.kind;
}

/** An event of the history with its wall-clock time. */
export interface TimedEvent {
  event: StoreEvent;
  atMs: number;
  /** Set when the value was dropped because the object was replaced. */
  valueDropped?: true;
}

/** Objects with versions, a store-wide revision and the full history of writes. */
export class ObjectTable {
  private readonly kinds = new Map<string, Map<string, StoredObject>>();

  private readonly events: TimedEvent[] = [];

  private currentRevision = 0;

  /** @param retainedValues number of newest events that keep replaced values. */
  constructor(private readonly retainedValues = Infinity) {}

  get revision(): number {
    return this.currentRevision;
  }

  get(kind: string, name: string): StoredObject | undefined {
    return this.kinds.get(kind)?.get(name);
  }

  /** Lists objects of a kind by name, after the name `after`. */
  list(kind: string, after: string, limit: number): StoredObject[] {
    return [...(this.kinds.get(kind)?.values() ?? [])]
      .filter((object) => object.name > after)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .slice(0, limit);
  }

  put(kind: string, name: string, value: unknown, condition: WriteCondition): WriteOutcome {
    const current = this.get(kind, name);
    if (condition.type === 'absent' && current) return { type: 'conflict', current };
    if (condition.type === 'version') {
      if (!current) return { type: 'not_found' };
      if (current.version !== condition.version) return { type: 'conflict', current };
    }
    this.currentRevision += 1;
    const object: StoredObject = {
      kind,
      name,
      version: (current?.version ?? 0) + 1,
      revision: this.currentRevision,
      value,
    };
    const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, objects.set(name, object));
    this.record({ type: 'put', object });
    if (current) this.dropOldValue(current.revision);
    return { type: current ? 'updated' : 'created', object };
  }

  remove(kind: string, name: string, version: number): WriteOutcome {
    const current = this.get(kind, name);
    if (!current) return { type: 'not_found' };
    if (current.version !== version) return { type: 'conflict', current };
    this.currentRevision += 1;
    this.kinds.get(kind)?.delete(name);
    this.record({ type: 'delete', kind, name, revision: this.currentRevision });
    this.dropOldValue(current.revision);
    return { type: 'deleted', revision: this.currentRevision };
  }

  /**
   * Returns the events after `revision`, oldest first. Revisions have no gaps, so a revision is
   * also an index. Events whose value was dropped are omitted; a later event of the same object
   * follows them.
   */
  getEventsAfter(revision: number): StoreEvent[] {
    return this.events
      .slice(Math.max(0, revision))
      .filter((timed) => !timed.valueDropped)
      .map(({ event }) => event);
  }

  /** Returns the history after `revision` with wall-clock times. */
  getHistory(revision: number): readonly TimedEvent[] {
    return this.events.slice(Math.max(0, revision));
  }

  /** Returns the objects of a kind as they were at a wall-clock time. */
  getKindAt(kind: string, atMs: number): Map<string, StoredObject> {
    const objects = new Map<string, StoredObject>();
    for (const { event, atMs: eventAtMs } of this.events) {
      if (eventAtMs > atMs) break;
      if (getEventKind(event) !== kind) continue;
      if (event.type === 'put') objects.set(event.object.name, event.object);
      else objects.delete(event.name);
    }
    return objects;
  }

  getRevisionAt(atMs: number): number {
    const last = this.events.findLast((timed) => timed.atMs <= atMs);
    return last ? getEventRevision(last.event) : 0;
  }

  private record(event: StoreEvent): void {
    this.events.push({ event, atMs: Date.now() });
    this.dropOldValue(this.events.length - this.retainedValues);
  }

  /** Drops a replaced value; large, often written values would fill the memory in long runs. */
  private dropOldValue(revision: number): void {
    const timed = this.events[revision - 1];
    if (!timed || timed.event.type !== 'put' || timed.valueDropped) return;
    const { object } = timed.event;
    const isOld = revision <= this.events.length - this.retainedValues;
    if (!isOld || this.get(object.kind, object.name) === object) return;
    timed.valueDropped = true;
    timed.event = { type: 'put', object: { ...object, value: null } };
  }
}
