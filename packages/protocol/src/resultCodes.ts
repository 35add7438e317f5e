/** Whether an upstream ran the request. */
export type RanState = 'no' | 'unknown' | 'yes';

/** gRPC status names used in the table. */
export type GrpcStatusName =
  | 'OK'
  | 'INVALID_ARGUMENT'
  | 'UNAUTHENTICATED'
  | 'PERMISSION_DENIED'
  | 'NOT_FOUND'
  | 'ABORTED'
  | 'FAILED_PRECONDITION'
  | 'RESOURCE_EXHAUSTED'
  | 'UNAVAILABLE'
  | 'DEADLINE_EXCEEDED'
  | 'UNKNOWN'
  | 'INTERNAL';

/** One row of the table of result codes. */
export interface ResultCode {
  /** 1xxx: invalid request, 2xxx: not accepted, 3xxx: may have run, 4xxx: operator calls. */
  code: number;
  httpStatus: number;
  grpcStatus: GrpcStatusName;
  ran: RanState;
  /** Recommended action for the caller. */
  advice: string;
}

function createRow(
  code: number,
  httpStatus: number,
  grpcStatus: GrpcStatusName,
  ran: RanState,
  advice: string,
): ResultCode {
  return { code, httpStatus, grpcStatus, ran, advice };
}

/** Every result code by name. docs/errors.md contains the same table. */
export const resultCodes = {
  malformed_request: createRow(1101, 400, 'INVALID_ARGUMENT', 'no', 'Correct the request body.'),
  unauthenticated: createRow(1102, 401, 'UNAUTHENTICATED', 'no', 'Send a valid workspace key.'),
  model_not_allowed: createRow(
    1103,
    403,
    'PERMISSION_DENIED',
    'no',
    'Use a model and version that the workspace allows.',
  ),
  request_too_large: createRow(1104, 413, 'RESOURCE_EXHAUSTED', 'no', 'Send a smaller request.'),
  session_invalid: createRow(
    1105,
    400,
    'INVALID_ARGUMENT',
    'no',
    'Start a new session without the session header.',
  ),
  session_ended: createRow(
    1106,
    410,
    'FAILED_PRECONDITION',
    'no',
    'The session version was withdrawn. Start a new session.',
  ),
  unknown_route: createRow(1107, 404, 'NOT_FOUND', 'no', 'Check the path and the service name.'),
  key_reused: createRow(
    1108,
    422,
    'FAILED_PRECONDITION',
    'no',
    'Use a new Idempotency-Key for a different request.',
  ),
  key_missing: createRow(
    1109,
    400,
    'INVALID_ARGUMENT',
    'no',
    'Send an Idempotency-Key with a call that must not be repeated.',
  ),
  request_quarantined: createRow(
    1110,
    422,
    'FAILED_PRECONDITION',
    'no',
    'The request crashed upstreams. Change it before sending it again.',
  ),
  header_invalid: createRow(1111, 400, 'INVALID_ARGUMENT', 'no', 'Correct the named header.'),
  headers_too_large: createRow(1112, 431, 'RESOURCE_EXHAUSTED', 'no', 'Send smaller headers.'),
  overloaded: createRow(
    2101,
    503,
    'RESOURCE_EXHAUSTED',
    'no',
    'Retry after the time in Retry-After.',
  ),
  quota_exceeded: createRow(2102, 429, 'RESOURCE_EXHAUSTED', 'no', 'Wait for the next window.'),
  no_upstream: createRow(2103, 503, 'UNAVAILABLE', 'no', 'Retry later.'),
  queue_timeout: createRow(
    2104,
    503,
    'DEADLINE_EXCEEDED',
    'no',
    'Retry after the time in Retry-After.',
  ),
  claim_unavailable: createRow(
    2105,
    503,
    'UNAVAILABLE',
    'no',
    'Retry with the same Idempotency-Key when the object API is back.',
  ),
  permit_lapsed: createRow(
    2106,
    503,
    'UNAVAILABLE',
    'no',
    'This zone cannot confirm that the version is still allowed. Retry later.',
  ),
  stopping: createRow(2107, 503, 'UNAVAILABLE', 'no', 'Retry at once; another instance answers.'),
  billing_unavailable: createRow(2108, 503, 'UNAVAILABLE', 'no', 'Retry later.'),
  not_ready: createRow(2109, 503, 'UNAVAILABLE', 'no', 'Retry later.'),
  upstream_refused: createRow(2110, 503, 'UNAVAILABLE', 'no', 'Retry later.'),
  outcome_unknown: createRow(
    3101,
    502,
    'UNKNOWN',
    'unknown',
    'The request may have run and is not repeated. Check its effect.',
  ),
  answer_incomplete: createRow(
    3102,
    502,
    'UNKNOWN',
    'unknown',
    'The answer broke off. An idempotent request can be sent again.',
  ),
  answer_not_kept: createRow(
    3103,
    409,
    'ABORTED',
    'yes',
    'The request ran once; its answer was too large to keep.',
  ),
  still_running: createRow(
    3104,
    409,
    'ABORTED',
    'unknown',
    'The first attempt still runs. Repeat with the same Idempotency-Key.',
  ),
  time_over: createRow(
    3106,
    504,
    'DEADLINE_EXCEEDED',
    'unknown',
    'The request may have run. Check its effect, or allow more time.',
  ),
  internal: createRow(3105, 500, 'INTERNAL', 'unknown', 'Report the request id to the operators.'),
  conflict: createRow(4101, 409, 'ABORTED', 'no', 'Read the object again and repeat the change.'),
  not_found: createRow(4102, 404, 'NOT_FOUND', 'no', 'Check the kind and the name.'),
  invalid_change: createRow(4103, 400, 'INVALID_ARGUMENT', 'no', 'Correct the named field.'),
  store_unavailable: createRow(4104, 503, 'UNAVAILABLE', 'no', 'Repeat the change later.'),
  change_unknown: createRow(
    4105,
    504,
    'UNKNOWN',
    'unknown',
    'The change may be stored. Read the object before repeating it.',
  ),
  invalid_state: createRow(
    4106,
    409,
    'FAILED_PRECONDITION',
    'no',
    'Read the object; its state does not allow the change.',
  ),
} as const satisfies Record<string, ResultCode>;

/** Name of a row of the table. */
export type ResultCodeName = keyof typeof resultCodes;
