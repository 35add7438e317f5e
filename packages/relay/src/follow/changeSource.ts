import type { Result } from 'neverthrow';

/** A decoded object from the store. */
export interface SourceItem<T> {
  name: string;
  /** Store-wide revision of the object's last change. */
  revision: number;
  /** Undefined when the object cannot be decoded. */
  value: T | undefined;
}

/** A change to one object. */
export interface SourceChange<T> extends SourceItem<T> {
  isDeleted: boolean;
}

/** The history of the store that an answer belongs to. */
interface AnswerEra {
  /**
   * Rises when the store was restored from an older copy. Revisions of two eras cannot be compared.
   * Absent when the store names none, or did not answer.
   */
  era?: number;
}

/** Why a read of the store failed. */
export type SourceFailure = AnswerEra &
  /** The store no longer keeps the requested revisions, so the objects must be listed again. */
  (
    | { type: 'history_gone' }
    /** No usable answer; nothing is known about the store's state. */
    | { type: 'unavailable'; message: string }
  );

/** How a state was read: directly from the store, or through another instance. */
interface ReadOrigin extends AnswerEra {
  /** Age of the state when a peer sent it, in milliseconds; absent for a read of the store. */
  ageMs?: number;
  /** Time since reads by the peer succeeded again after a failure; null if none has failed. */
  restoredAgeMs?: number | null;
}

/** All objects of one kind. */
export interface SourceList<T> extends AnswerEra {
  items: SourceItem<T>[];
  revision: number;
}

/** The changes of one kind of objects since a revision. */
export interface SourceChanges<T> extends ReadOrigin {
  changes: SourceChange<T>[];
  revision: number;
}

/** Linearizable reads of one kind of objects in the platform's store. */
export interface ChangeSource<T> {
  /** Reads all objects, following pages. The revision is that of the first page. */
  list(): Promise<Result<SourceList<T>, SourceFailure>>;
  /**
   * Returns the changes after `revision`, waiting up to `waitMs` for the first one.
   *
   * @param era era of the revision. The store itself cannot be asked for changes of an era; other
   * instances return none if theirs differs.
   */
  poll(
    revision: number,
    waitMs: number,
    era?: number,
  ): Promise<Result<SourceChanges<T>, SourceFailure>>;
}

/** How a conditional write ended. `unknown`: it may have taken effect or may do so later. */
export type WriteOutcome = 'written' | 'conflict' | 'refused' | 'unknown';
