import type { Failure } from '@cactusstair/protocol';
import { getResultCode } from '@cactusstair/protocol';

import { callerHeaderNames } from './callerHeaders.js';

const MS_PER_SECOND = 1000;

/** The HTTP form of a failure. */
export interface FailureAnswer {
  status: number;
  headers: Record<string, string>;
  body: { error: { code: number; type: string; message: string; ran: string; advice: string } };
}

/** Creates the answer that tells a caller about a failure. */
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
