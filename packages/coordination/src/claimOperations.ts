import type { KeptAnswer } from '@cactusstair/protocol';

import type { ClaimEntry, ClaimShard } from './claimShard.js';
import { computeHash, decodeAnswer, encodeAnswer } from './claimShard.js';
import type { StoreFailure } from './objectStore.js';

/** A granted claim; only its holder may send the request. */
export interface Claim {
  workspace: string;
  key: string;
  requestDigest: string;
  owner: string;
  incarnation: number;
  nonce: string;
}

/** Result of a claim. */
export type ClaimDecision =
  /** The caller of `claim` owns the key and may send the request. */
  | { type: 'granted'; claim: Claim }
  /** The request ran; the answer is undefined when it was not kept. */
  | { type: 'done'; answer: KeptAnswer | undefined }
  /** Another request, possibly of this instance, owns the key. */
  | { type: 'owned'; owner: string; incarnation: number }
  /** The key was claimed with another request digest. */
  | { type: 'key_reused' };

interface OperationBase {
  entryKey: string;
  claim: Claim;
  /** Shard version expected by a write of this operation whose answer was lost. */
  inDoubtVersion?: number;
  /** Whether the caller has the result. */
  delivered?: boolean;
  fail: (failure: StoreFailure) => void;
}

/** An operation on a shard that waits for the next conditional update. */
export type ClaimOperation =
  (OperationBase & { type: 'claim'; resolve: (decision: ClaimDecision) => void }) | ClaimChange;

/** An operation of the owner of a claim; it is retried until it is stored. */
export type ClaimChange = OperationBase &
  (
    | { type: 'complete'; answer: KeptAnswer | undefined; resolve: () => void }
    | { type: 'release'; resolve: () => void }
  );

/** Result of one operation on a shard. Applying an operation again gives the same result. */
export interface OperationOutcome {
  /** Whether the shard was changed. */
  changed: boolean;
  /** Whether the result holds only if the update that is being prepared succeeds. */
  needsWrite: boolean;
  /** Delivers the result to the waiting caller. */
  deliver: () => void;
  granted: boolean;
}

function isSameClaim(entry: ClaimEntry, claim: Claim): boolean {
  return (
    entry.owner === claim.owner &&
    entry.incarnation === claim.incarnation &&
    entry.nonce === claim.nonce
  );
}

function createEntry(claim: Claim, state: ClaimEntry['state'], nowMs: number): ClaimEntry {
  const { owner, incarnation, nonce } = claim;
  const requestDigest = computeHash(claim.requestDigest);
  return { owner, incarnation, nonce, requestDigest, state, changedAtMs: nowMs };
}

function decideExisting(entry: ClaimEntry, claim: Claim): ClaimDecision {
  if (isSameClaim(entry, claim)) return { type: 'granted', claim };
  if (entry.requestDigest !== computeHash(claim.requestDigest)) return { type: 'key_reused' };
  if (entry.state === 'done') return { type: 'done', answer: decodeAnswer(entry.answer) };
  return { type: 'owned', owner: entry.owner, incarnation: entry.incarnation };
}

function applyClaim(
  operation: ClaimOperation & { type: 'claim' },
  shard: ClaimShard,
  nowMs: number,
): Omit<OperationOutcome, 'needsWrite'> {
  const { entryKey, claim, resolve, fail } = operation;
  const entry = shard.get(entryKey);
  if (entry) {
    const decision = decideExisting(entry, claim);
    const granted = decision.type === 'granted';
    return { changed: false, granted, deliver: () => resolve(decision) };
  }
  if (!shard.tryAdd(entryKey, createEntry(claim, 'claimed', nowMs))) {
    const message =
      'the claim shard is full; nothing was claimed. Retry after older claims expire, or raise the number of shards';
    return {
      changed: false,
      granted: false,
      deliver: () => fail({ type: 'unavailable', message }),
    };
  }
  return { changed: true, granted: true, deliver: () => resolve({ type: 'granted', claim }) };
}

function applyComplete(
  operation: ClaimOperation & { type: 'complete' },
  shard: ClaimShard,
  nowMs: number,
): Omit<OperationOutcome, 'needsWrite'> {
  const { entryKey, claim, answer, resolve, fail } = operation;
  const entry = shard.get(entryKey);
  if (entry && !isSameClaim(entry, claim)) {
    return { changed: false, granted: false, deliver: () => fail({ type: 'conflict' }) };
  }
  const changed = entry?.state !== 'done';
  if (changed) {
    const done = createEntry(claim, 'done', nowMs);
    shard.setDone(entryKey, answer ? { ...done, answer: encodeAnswer(answer) } : done);
  }
  return { changed, granted: false, deliver: () => resolve() };
}

function applyRelease(
  operation: ClaimOperation & { type: 'release' },
  shard: ClaimShard,
): Omit<OperationOutcome, 'needsWrite'> {
  const { entryKey, claim, inDoubtVersion, resolve } = operation;
  const entry = shard.get(entryKey);
  const owned = entry !== undefined && entry.state === 'claimed' && isSameClaim(entry, claim);
  if (owned) shard.remove(entryKey);
  // A write whose answer was lost can still take effect while the shard has the version that it
  // expects; another update prevents that.
  const changed = owned || inDoubtVersion !== undefined;
  return { changed, granted: false, deliver: () => resolve() };
}

const appliers = { claim: applyClaim, complete: applyComplete, release: applyRelease } as const;

/** Applies operations to a shard in order. */
export function applyOperations(
  operations: readonly ClaimOperation[],
  shard: ClaimShard,
  nowMs: number,
): OperationOutcome[] {
  const changedKeys = new Set<string>();
  return operations.map((operation) => {
    const apply = appliers[operation.type] as (
      operation: ClaimOperation,
      shard: ClaimShard,
      nowMs: number,
    ) => Omit<OperationOutcome, 'needsWrite'>;
    const outcome = apply(operation, shard, nowMs);
    if (outcome.changed) changedKeys.add(operation.entryKey);
    return { ...outcome, needsWrite: changedKeys.has(operation.entryKey) };
  });
}
