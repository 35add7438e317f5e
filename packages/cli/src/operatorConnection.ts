import { readFileSync } from 'node:fs';

import { OperatorClient } from '@cactusstair/protocol';
import type { CallOptions, Metadata, ServiceError } from '@grpc/grpc-js';
import { credentials, Metadata as GrpcMetadata } from '@grpc/grpc-js';

import { CliError, createCallError, exitCodes } from './cliError.js';

/** Options that every operator command takes. */
export interface ConnectionOptions {
  /** Address of an instance's operator port, `ip:port`. */
  server: string;
  /** Time for one call in milliseconds. */
  timeoutMs: number;
  ca?: string;
  cert?: string;
  key?: string;
}

type UnaryCall<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

function readPem(file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (error) {
    throw new CliError(`${file} cannot be read: ${(error as Error).message}`, exitCodes.usage);
  }
}

function createCredentials({ ca, cert, key }: ConnectionOptions) {
  if (ca === undefined && cert === undefined && key === undefined) {
    return credentials.createInsecure();
  }
  if (ca === undefined || cert === undefined || key === undefined) {
    throw new CliError('TLS needs all of --ca, --cert and --key', exitCodes.usage);
  }
  return credentials.createSsl(readPem(ca), readPem(key), readPem(cert));
}

/** A connection to the operator port of one instance. */
export class OperatorConnection {
  readonly client: OperatorClient;

  constructor(private readonly options: ConnectionOptions) {
    this.client = new OperatorClient(options.server, createCredentials(options));
  }

  /** Makes one call. @throws CliError */
  call<Request, Reply>(method: UnaryCall<Request, Reply>, request: Request): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + this.options.timeoutMs;
      method.call(this.client, request, new GrpcMetadata(), { deadline }, (error, reply) => {
        if (error) reject(createCallError(error, this.options.server));
        else resolve(reply);
      });
    });
  }

  /** Explains an error of a stream. */
  describeError(error: unknown): CliError {
    return createCallError(error as ServiceError, this.options.server);
  }

  close(): void {
    this.client.close();
  }
}
