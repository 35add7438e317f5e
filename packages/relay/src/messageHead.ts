import { validateHeaderName, validateHeaderValue } from 'node:http';

import { describeInvalidStatus } from '@cactusstair/utils';

/**
 * Checks headers that are passed on. The parser of node:http accepts names that its writer refuses,
 * for example with a space or without a character.
 *
 * @param rawHeaders alternating names and values
 * @returns what is invalid; undefined if the headers can be passed on.
 */
export function describeInvalidHeaders(rawHeaders: readonly string[]): string | undefined {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index]!;
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1]!);
    }
    return undefined;
  } catch (error) {
    return (error as Error).message;
  }
}

/** Checks the head of a final answer in the same way. */
export function describeInvalidAnswerHead(
  status: number,
  rawHeaders: readonly string[],
): string | undefined {
  return describeInvalidStatus(status) ?? describeInvalidHeaders(rawHeaders);
}
