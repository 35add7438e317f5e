import { randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Names of the request and response headers of the caller API. */
export const callerHeaderNames = {
  requestId: 'x-request-id',
  session: 'x-cactusstair-session',
  idempotencyKey: 'idempotency-key',
  model: 'x-cactusstair-model',
  version: 'x-cactusstair-version',
  costMicros: 'x-cactusstair-cost-micros',
  code: 'x-cactusstair-code',
  ran: 'x-cactusstair-ran',
  replayed: 'x-cactusstair-replayed',
} as const;

/** The validated headers of a request. */
export interface CallerHeaders {
  requestId: string;
  sessionToken: string | undefined;
  idempotencyKey: string | undefined;
}

const IDENTIFIER = /^[\x21-\x7e]{1,128}$/;
const SESSION_TOKEN = /^[A-Za-z0-9._-]{1,8192}$/;
const SINGLE_HEADERS: readonly string[] = [
  'authorization',
  callerHeaderNames.requestId,
  callerHeaderNames.session,
  callerHeaderNames.idempotencyKey,
];

/** Returns the first header that was repeated although it may be sent only once. */
function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase() ?? '';
    if (SINGLE_HEADERS.includes(name)) {
      if (seen.has(name)) return name;
      seen.add(name);
    }
  }
  return undefined;
}

/** Validates the headers that control a request. Generates a request id if none was sent. */
export function parseCallerHeaders(
  headers: IncomingHttpHeaders,
  rawHeaders: readonly string[],
): Result<CallerHeaders, Failure> {
  const repeated = findRepeatedHeader(rawHeaders);
  if (repeated) return err(createFailure('header_invalid', `${repeated} was sent more than once`));
  const checks: [name: string, pattern: RegExp][] = [
    [callerHeaderNames.requestId, IDENTIFIER],
    [callerHeaderNames.idempotencyKey, IDENTIFIER],
  ];
  for (const [name, pattern] of checks) {
    const value = headers[name];
    if (value !== undefined && !pattern.test(String(value))) {
      return err(createFailure('header_invalid', `${name} must be 1 to 128 visible characters`));
    }
  }
  const session = headers[callerHeaderNames.session];
  if (session !== undefined && !SESSION_TOKEN.test(String(session))) {
    return err(createFailure('session_invalid', 'the session token is malformed'));
  }
  return ok({
    requestId: readHeader(headers, callerHeaderNames.requestId) ?? randomUUID(),
    sessionToken: readHeader(headers, callerHeaderNames.session),
    idempotencyKey: readHeader(headers, callerHeaderNames.idempotencyKey),
  });
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return value === undefined ? undefined : String(value);
}
