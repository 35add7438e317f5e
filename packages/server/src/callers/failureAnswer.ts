import type { Failure } from '@cactusstair/protocol';
import { getResultCode } from '@cactusstair/protocol';

import { callerHeaderNames } from './callerHeaders.js';

const MS_PER_SECOND = 1000;

/** A failure as an HTTP response. */
export interface FailureAnswer {
  status: number;
  headers: Record<string, string>;
  body: { error: { code: number; type: string; message: string; ran: string; advice: string } };
}

/** Converts a failure to an HTTP response. */
export function createFailureAnswer(failure: Failure, requestId?: string): FailureAnswer {
  const row = getResultCode(failure);
  const headers: Record<string, string> = {
    [callerHeaderNames.code]: String(row.code),
    [callerHeaderNames.ran]: row.ran,
  };
  if (requestId !== undefined) headers[callerHeaderNames.requestId] = requestId;
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / MS_PER_SECOND));
  }
  return {
    status: row.httpStatus,
    headers,
    body: {
      error: {
        code: row.code,
        type: failure.name,
        message: failure.message,
        ran: row.ran,
        advice: row.advice,
      },
    },
  };
}
