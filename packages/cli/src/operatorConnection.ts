import { readFileSync } from 'node:fs';

import type { UnaryMethod } from '@cactusstair/protocol';
import { callUnary, OperatorClient } from '@cactusstair/protocol';
import type { ServiceError } from '@grpc/grpc-js';
import { credentials } from '@grpc/grpc-js';

import { CliError, createCallError, exitCodes } from './cliError.js';

/** Options that every operator command takes. */
export interface ConnectionOptions {
  /** Address of an instance's operator port, `ip:port`. */
  server: string;
  /** Timeout of one call in milliseconds. */
  timeoutMs: number;
  ca?: string;
  cert?: string;
  key?: string;
}

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

  /** Makes one unary call. @throws CliError */
  async call<Request, Reply>(
    method: UnaryMethod<Request, Reply>,
    request: Request,
  ): Promise<Reply> {
    try {
      return await callUnary(this.client, method, request, this.options.timeoutMs);
    } catch (error) {
      throw this.convertError(error);
    }
  }

  /** Converts an error of a call or a stream to a `CliError`. */
  convertError(error: unknown): CliError {
    return createCallError(error as ServiceError, this.options.server);
  }

  close(): void {
    this.client.close();
  }
}
