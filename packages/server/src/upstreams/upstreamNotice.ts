import type { UpstreamNotice } from '@cactusstair/routing';
import { isHeaderSet } from '@cactusstair/utils';

type AnswerHeaders = Record<string, string | string[] | undefined>;

const MS_PER_SECOND = 1000;
const SERVICE_UNAVAILABLE = 503;

function parseAmount(value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && /^\d+(\.\d+)?$/.test(value) ? Number(value) : undefined;
}

/** Reads what the head of an answer says about its upstream. */
export function readNotice(status: number, headers: AnswerHeaders): UpstreamNotice {
  const pauseSeconds =
    status === SERVICE_UNAVAILABLE ? parseAmount(headers['retry-after']) : undefined;
  return {
    isLeaving: isHeaderSet(headers['x-upstream-leaving']),
    requestsPerSecond: parseAmount(headers['x-upstream-limit']),
    pauseMs: pauseSeconds === undefined ? undefined : pauseSeconds * MS_PER_SECOND,
  };
}
