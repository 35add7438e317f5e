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

/** Why a read of the store failed. */
export type SourceFailure =
  /** The store no longer keeps the requested revisions, so the objects must be listed again. */
  | { type: 'history_gone' }
  /** No usable answer; nothing is known about the store's state. */
  | { type: 'unavailable'; message: string };

/** How a state was read: directly from the store, or through another instance. */
interface ReadOrigin {
  /** Age of the state when a peer sent it, in milliseconds; absent for a read of the store. */
  ageMs?: number;
  /** Time since reads by the peer succeeded again after a failure; null if none has failed. */
  restoredAgeMs?: number | null;
}

/** All objects of one kind. */
export interface SourceList<T> {
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
  /** Returns the changes after `revision`, waiting up to `waitMs` for the first one. */
  poll(revision: number, waitMs: number): Promise<Result<SourceChanges<T>, SourceFailure>>;
}

/** How a conditional write ended. `unknown`: it may have taken effect or may do so later. */
export type WriteOutcome = 'written' | 'conflict' | 'refused' | 'unknown';
