import type { ResultCode, ResultCodeName } from './resultCodes.js';
import { resultCodes } from './resultCodes.js';

/** An expected failure: a row of the result code table with the particulars of one case. */
export interface Failure {
  name: ResultCodeName;
  message: string;
  /** Time after which a retry is useful, in milliseconds. */
  retryAfterMs?: number;
}

/** Creates a failure; `message` says what was asked and what is wrong, without secrets. */
export function createFailure(
  name: ResultCodeName,
  message: string,
  retryAfterMs?: number,
): Failure {
  return retryAfterMs === undefined ? { name, message } : { name, message, retryAfterMs };
}

/** Returns the table row of a failure. */
export function getResultCode(failure: Failure): ResultCode {
  return resultCodes[failure.name];
}
