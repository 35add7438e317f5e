/** Why a call to an upstream failed. */
export type UpstreamCallErrorKind =
  /** No connection was established; nothing was sent. */
  | 'connect'
  /** The connection closed or was reset before the answer was complete. */
  | 'crash'
  /** No progress within the timeout. */
  | 'timeout'
  /** The upstream answered with a 5xx status. */
  | 'status'
  /** The answer belongs to another request or is malformed. */
  | 'mismatch'
  /** The caller disconnected or the request's deadline passed. */
  | 'aborted';

/** A failed call to an upstream. */
export class UpstreamCallError extends Error {
  constructor(
    readonly kind: UpstreamCallErrorKind,
    message: string,
    /** Whether bytes of the request may have reached the upstream. */
    readonly dispatched: boolean,
  ) {
    super(message);
    this.name = 'UpstreamCallError';
  }
}

const KIND_BY_ERROR_CODE: Record<string, UpstreamCallErrorKind> = {
  ECONNREFUSED: 'connect',
  EHOSTUNREACH: 'connect',
  ENETUNREACH: 'connect',
  UND_ERR_CONNECT_TIMEOUT: 'connect',
  UND_ERR_HEADERS_TIMEOUT: 'timeout',
  UND_ERR_BODY_TIMEOUT: 'timeout',
  UND_ERR_ABORTED: 'aborted',
  ABORT_ERR: 'aborted',
};

/** Classifies an error of the HTTP client. Unknown errors count as dispatched. */
export function classifyCallError(error: unknown): UpstreamCallError {
  if (error instanceof UpstreamCallError) return error;
  const { code, name, message } = error as Error & { code?: string };
  const kind: UpstreamCallErrorKind =
    name === 'AbortError' ? 'aborted' : (KIND_BY_ERROR_CODE[code ?? ''] ?? 'crash');
  return new UpstreamCallError(kind, message, kind !== 'connect');
}
