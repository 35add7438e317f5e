import type { ServiceError } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

/** Exit codes of the command line. */
export const exitCodes = {
  success: 0,
  failure: 1,
  /** Wrong usage, wrong settings or a wrong input file. */
  usage: 2,
  /** The instance refused the call: conflict, invalid change, missing object. */
  refused: 3,
  /** The instance or the object API cannot be reached, or the outcome is unknown. */
  unavailable: 4,
} as const;

/** An error whose message is printed to the user, with the exit code of the command. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
    this.name = 'CliError';
  }
}

const REFUSED_STATUSES: readonly status[] = [
  status.INVALID_ARGUMENT,
  status.NOT_FOUND,
  status.ABORTED,
  status.FAILED_PRECONDITION,
  status.PERMISSION_DENIED,
  status.UNAUTHENTICATED,
];

/** Creates the error of a failed call, with the message and result code that the instance sent. */
export function createCallError(error: ServiceError, server: string): CliError {
  const code = error.metadata?.get('x-cactusstair-code')[0];
  if (code !== undefined) {
    const exitCode = REFUSED_STATUSES.includes(error.code)
      ? exitCodes.refused
      : exitCodes.unavailable;
    return new CliError(`${error.details} (code ${String(code)})`, exitCode);
  }
  if (error.code === status.DEADLINE_EXCEEDED) {
    return new CliError(
      `${server} did not answer in time; read the object before repeating a change`,
      exitCodes.unavailable,
    );
  }
  return new CliError(
    `cannot call ${server}: ${error.details}. Check --server and, with TLS, the certificate files`,
    exitCodes.unavailable,
  );
}
