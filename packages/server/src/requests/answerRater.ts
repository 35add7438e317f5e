import { VersionState } from '@cactusstair/protocol';
import type { CascadePolicy, VersionStatsRecorder } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

import type { RatingClient } from './ratingClient.js';
import type { ChatCall, RungAnswer } from './chatCall.js';

/** Options of `AnswerRater`. */
export interface AnswerRaterOptions {
  ratings: RatingClient;
  versionStats: VersionStatsRecorder;
  cascades: CascadePolicy;
  random: Random;
  /** Share of answers, in 0..1, that are rated when no escalation decision depends on the rating. */
  sampleShare: number;
  /** The same share for answers of a version under rollout. */
  candidateShare: number;
}

const RATING_TIMEOUT_MS = 500;

/** Requests ratings of answers and records them for the cascade policy and the rollout statistics. */
export class AnswerRater {
  constructor(private readonly options: AnswerRaterOptions) {}

  /**
   * Returns the rating of an answer in 0..1, or undefined when none arrives within 500 ms.
   *
   * @param escalated whether a lower rung's answer to the request was rated below the target.
   */
  async rate(call: ChatCall, answer: RungAnswer, escalated: boolean): Promise<number | undefined> {
    const { ratings, versionStats, cascades } = this.options;
    const model = answer.resolved.model.name;
    const version = answer.resolved.version.version;
    const question = { requestId: call.requestId, model, version, quality: answer.quality };
    const rating = await ratings.rate(question, RATING_TIMEOUT_MS);
    if (rating === undefined) return undefined;
    versionStats.recordRating({ model, version, rating });
    cascades.recordRating({
      workspace: call.workspace.name,
      requestClass: call.requestClass,
      model,
      version,
      rating,
      escalated,
    });
    return rating;
  }

  /** Rates a random sample of the answers in the background; no decision depends on the result. */
  rateSample(call: ChatCall, answer: RungAnswer, escalated: boolean): void {
    const { random, sampleShare, candidateShare } = this.options;
    const isCandidate = answer.resolved.version.state === VersionState.CANDIDATE;
    if (random.next() >= (isCandidate ? candidateShare : sampleShare)) return;
    this.rate(call, answer, escalated).catch(() => {});
  }
}
