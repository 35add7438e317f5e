import type { CallOptions, Client, ServiceError } from '@grpc/grpc-js';
import { Metadata } from '@grpc/grpc-js';

/** A unary method of a generated client. */
export type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/**
 * Calls a unary method of a client.
 *
 * @returns the reply; rejects with the `ServiceError` of the call, also when `timeoutMs` expires.
 */
export function callUnary<Request, Reply>(
  client: Client,
  method: UnaryMethod<Request, Reply>,
  request: Request,
  timeoutMs: number,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const deadline = Date.now() + timeoutMs;
    method.call(client, request, new Metadata(), { deadline }, (error, reply) => {
      if (error) reject(error);
      else resolve(reply);
    });
  });
}
