import type { Result } from 'neverthrow';

/** A stored object as the product sees it. */
export interface SourceItem<T> {
  name: string;
  /** Store-wide number of the object's last change. */
  revision: number;
  /** Undefined when the object cannot be decoded. */
  value: T | undefined;
}

/** One change of a kind of objects. */
export interface SourceChange<T> extends SourceItem<T> {
  isDeleted: boolean;
}

/** Why a call to the store gave no answer. */
export type SourceFailure =
  /** The revisions asked for are no longer kept; list again. */
  | { type: 'history_gone' }
  /** No usable answer; nothing is known about the store's state. */
  | { type: 'unavailable'; message: string };

/** Linearizable reads of one kind of objects in the platform's store. */
export interface ChangeSource<T> {
  /** Reads all objects, following pages. The revision is that of the first page. */
  list(): Promise<Result<{ items: SourceItem<T>[]; revision: number }, SourceFailure>>;
  /** Returns the changes after `revision`, or none after `waitMs`. */
  poll(
    revision: number,
    waitMs: number,
  ): Promise<Result<{ changes: SourceChange<T>[]; revision: number }, SourceFailure>>;
}

/** How a conditional write ended. `unknown`: it may have taken effect or may do so later. */
export type WriteOutcome = 'written' | 'conflict' | 'refused' | 'unknown';
