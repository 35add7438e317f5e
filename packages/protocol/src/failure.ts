import type { ResultCode, ResultCodeName } from './resultCodes.js';
import { resultCodes } from './resultCodes.js';

/** An expected failure: the name of its result code and the details of one occurrence. */
export interface Failure {
  name: ResultCodeName;
  message: string;
  /** Delay in milliseconds after which a retry may succeed. */
  retryAfterMs?: number;
}

/** Creates a failure; `message` names the request and the problem and contains no secrets. */
export function createFailure(
  name: ResultCodeName,
  message: string,
  retryAfterMs?: number,
): Failure {
  return retryAfterMs === undefined ? { name, message } : { name, message, retryAfterMs };
}

/** Returns the result code of a failure. */
export function getResultCode(failure: Failure): ResultCode {
  return resultCodes[failure.name];
}
