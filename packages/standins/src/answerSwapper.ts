import type { AnswerIdentity } from './engineRun.js';

interface WaitingAnswer {
  identity: AnswerIdentity;
  receive: (identity: AnswerIdentity) => void;
}

/** Gives each of two concurrent requests the identity of the other. */
export class AnswerSwapper {
  private waiting: WaitingAnswer | undefined;

  /** Waits up to `waitMs` for a partner; returns its identity, or `identity` without a partner. */
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
