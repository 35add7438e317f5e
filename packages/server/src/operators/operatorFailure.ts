import type { StoreFailure } from '@cactusstair/coordination';
import type { Failure } from '@cactusstair/protocol';
import { createFailure, getResultCode } from '@cactusstair/protocol';
import type { ServiceError } from '@grpc/grpc-js';
import { Metadata, status } from '@grpc/grpc-js';

/** gRPC metadata key that carries the result code. */
export const CODE_METADATA_KEY = 'x-cactusstair-code';

/** Converts a failure to the error of a gRPC call. */
export function createServiceError(failure: Failure): Partial<ServiceError> {
  const row = getResultCode(failure);
  const metadata = new Metadata();
  metadata.set(CODE_METADATA_KEY, String(row.code));
  return { code: status[row.grpcStatus], details: `${failure.message}. ${row.advice}`, metadata };
}

type FailureCreator<T extends StoreFailure['type']> = (
  failure: Extract<StoreFailure, { type: T }>,
  subject: string,
  expectedVersion: number,
) => Failure;

const failureCreators: { [T in StoreFailure['type']]: FailureCreator<T> } = {
  conflict: ({ current }, subject, expectedVersion) =>
    createFailure(
      'conflict',
      `${subject} has version ${current?.version ?? 0}, but the change expected ${expectedVersion}`,
    ),
  not_found: (_failure, subject) => createFailure('not_found', `${subject} does not exist`),
  unavailable: ({ message }) =>
    createFailure('store_unavailable', `the change was not stored: ${message}`),
  unknown: ({ message }, subject) =>
    createFailure('change_unknown', `it is unknown whether ${subject} was changed: ${message}`),
};

/** Converts the failure of a call to the object API to the failure of the operator's change. */
export function convertStoreFailure(
  failure: StoreFailure,
  subject: string,
  expectedVersion: number,
): Failure {
  const create = failureCreators[failure.type] as FailureCreator<StoreFailure['type']>;
  return create(failure, subject, expectedVersion);
}
