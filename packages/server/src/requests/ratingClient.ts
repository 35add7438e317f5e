import { request } from 'undici';
import { z } from 'zod';

/** An answer to be rated. */
export interface RatingQuestion {
  requestId: string;
  model: string;
  version: string;
  /** Quality value reported by the engine; forwarded to the rating service unchanged. */
  quality: number | undefined;
}

const ratingSchema = z.looseObject({ rating: z.number().min(0).max(1).nullish() });

/** Client of the platform's rating service. Ratings are optional: a failed call yields no rating. */
export class RatingClient {
  constructor(private readonly baseUrl: string | undefined) {}

  /** Returns the rating in 0..1, or undefined when the call fails or exceeds `timeoutMs`. */
  async rate(question: RatingQuestion, timeoutMs: number): Promise<number | undefined> {
    if (this.baseUrl === undefined) return undefined;
    try {
      const answer = await request(`${this.baseUrl}/v1/ratings`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(question),
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (answer.statusCode !== 200) {
        await answer.body.dump();
        return undefined;
      }
      return ratingSchema.parse(await answer.body.json()).rating ?? undefined;
    } catch {
      return undefined;
    }
  }
}
