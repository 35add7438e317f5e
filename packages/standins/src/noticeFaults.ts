import type { FastifyReply } from 'fastify';
import { z } from 'zod';

/** Faults in which an upstream says something about itself in its answers. */
export const noticeFaults = {
  /** Names the requests per second that it takes from all instances together. */
  limit: { requestsPerSecond: z.number().nonnegative() },
  /** Turns requests away and wants none from the instance for some seconds. */
  pause: { seconds: z.number().positive() },
} satisfies Record<string, z.ZodRawShape>;

/** Faults that are active now. */
interface ActiveNotices {
  limit: { requestsPerSecond: number } | undefined;
  pause: { seconds: number } | undefined;
}

/** Adds the headers of the active faults to an answer. */
export function addNoticeHeaders(reply: FastifyReply, { limit, pause }: ActiveNotices): void {
  if (limit) reply.header('x-upstream-limit', String(limit.requestsPerSecond));
  if (pause) reply.header('retry-after', String(pause.seconds));
}
