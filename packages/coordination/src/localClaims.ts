import type { AwaitClaimReply, KeptAnswer } from '@cactusstair/protocol';
import { ClaimOutcome } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';

/**
 * `pending`: the write of the claim is in flight and may have taken effect. `releasing`: the claim
 * is not in use, but it may still be stored.
 */
type LocalState = 'pending' | 'running' | 'releasing' | 'done' | 'released';

interface LocalClaim {
  nonce: string;
  state: LocalState;
  answer: KeptAnswer | undefined;
  waiters: Set<() => void>;
}

const outcomes: Record<LocalState, ClaimOutcome> = {
  pending: ClaimOutcome.RUNNING,
  running: ClaimOutcome.RUNNING,
  releasing: ClaimOutcome.RUNNING,
  done: ClaimOutcome.DONE,
  released: ClaimOutcome.RELEASED,
};

/** Tracks the claims of this instance, so that repeated requests can wait for the outcome. */
export class LocalClaims {
  private readonly claims = new Map<string, LocalClaim>();

  /** Keys of finished claims, oldest first. */
  private readonly finished = new Set<string>();

  constructor(
    private readonly clock: Clock,
    /** Number of finished claims kept, because a peer may ask shortly after the outcome. */
    private readonly maxFinished: number,
  ) {}

  /** Records a state. The end of an older claim of the same key is ignored. */
  setState(entryKey: string, nonce: string, state: LocalState, answer?: KeptAnswer): void {
    const known = this.claims.get(entryKey);
    const isActive = state !== 'done' && state !== 'released';
    if (!isActive && known && known.nonce !== nonce) return;
    const claim = { nonce, state, answer, waiters: known?.waiters ?? new Set<() => void>() };
    this.claims.set(entryKey, claim);
    this.finished.delete(entryKey);
    if (isActive) return;
    for (const notify of claim.waiters) notify();
    this.finished.add(entryKey);
    for (const oldest of this.finished) {
      if (this.finished.size <= this.maxFinished) break;
      this.finished.delete(oldest);
      this.claims.delete(oldest);
    }
  }

  /** Records that a claim is being written, unless an earlier one of the same key is known. */
  startPending(entryKey: string, nonce: string): void {
    if (!this.claims.has(entryKey)) this.setState(entryKey, nonce, 'pending');
  }

  /** Removes a claim that was not granted and is not stored. */
  endPending(entryKey: string, nonce: string): void {
    const claim = this.claims.get(entryKey);
    if (claim?.nonce !== nonce || claim.state !== 'pending') return;
    this.claims.delete(entryKey);
    for (const notify of claim.waiters) notify();
  }

  /** Waits until the claim is finished, at most `waitMs`. */
  async awaitOutcome(entryKey: string, waitMs: number): Promise<AwaitClaimReply> {
    const claim = this.claims.get(entryKey);
    if (!claim) return { outcome: ClaimOutcome.UNKNOWN, answer: undefined };
    if (!this.finished.has(entryKey)) {
      const { waiters } = claim;
      const wait = new AbortController();
      const notify = () => wait.abort();
      waiters.add(notify);
      await this.clock.sleep(waitMs, wait.signal);
      waiters.delete(notify);
    }
    const current = this.claims.get(entryKey);
    if (!current) return { outcome: ClaimOutcome.UNKNOWN, answer: undefined };
    return { outcome: outcomes[current.state], answer: current.answer };
  }
}
