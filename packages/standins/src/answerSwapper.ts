import type { AnswerIdentity } from './engineRun.js';

interface WaitingAnswer {
  identity: AnswerIdentity;
  receive: (identity: AnswerIdentity) => void;
}

/** Swaps the identities of two concurrent requests, for the fault `swapAnswers`. */
export class AnswerSwapper {
  private waiting: WaitingAnswer | undefined;

  /** Waits up to `waitMs` for a second request; returns its identity, or else `identity`. */
  exchange(identity: AnswerIdentity, waitMs: number): Promise<AnswerIdentity> {
    const partner = this.waiting;
    if (partner) {
      this.waiting = undefined;
      partner.receive(identity);
      return Promise.resolve(partner.identity);
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.waiting = undefined;
        resolve(identity);
      }, waitMs);
      this.waiting = {
        identity,
        receive: (other) => {
          clearTimeout(timer);
          resolve(other);
        },
      };
    });
  }
}
