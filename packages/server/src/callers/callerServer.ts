import 'reflect-metadata';

import { createFailure } from '@cactusstair/protocol';
import type { DynamicModule } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { FastifyError, FastifyInstance } from 'fastify';

import type { CallerContext } from './callerContext.js';
import { CALLER_CONTEXT } from './callerContext.js';
import { ChatController } from './chatController.js';
import { sendFailure } from './openRequest.js';
import { ServiceController } from './serviceController.js';

/** Options of `CallerServer`. */
export interface CallerServerOptions {
  context: CallerContext;
  /** Largest request body in bytes. */
  bodyBytes: number;
  /** Largest sum of all request headers in bytes. */
  headerBytes: number;
}

/** A caller has to send its whole request within this time, so that slow senders hold no socket. */
const REQUEST_RECEIVE_TIMEOUT_MS = 30_000;
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

class CallerModule {}

function createModule(context: CallerContext): DynamicModule {
  return {
    module: CallerModule,
    controllers: [ChatController, ServiceController],
    providers: [{ provide: CALLER_CONTEXT, useValue: context }],
  };
}

/** Failures of the HTTP layer, by the error code of the framework. */
const FAILURE_BY_ERROR_CODE = {
  FST_ERR_CTP_BODY_TOO_LARGE: () =>
    createFailure('request_too_large', 'the request body is too large'),
  FST_ERR_CTP_INVALID_CONTENT_LENGTH: () =>
    createFailure('malformed_request', 'the body does not have the announced length'),
} as const;

/** The HTTP server for callers. */
export class CallerServer {
  private constructor(private readonly app: NestFastifyApplication) {}

  static async create(options: CallerServerOptions): Promise<CallerServer> {
    const adapter = new FastifyAdapter({
      bodyLimit: options.bodyBytes,
      requestTimeout: REQUEST_RECEIVE_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      http: { maxHeaderSize: options.headerBytes },
      forceCloseConnections: 'idle',
      exposeHeadRoutes: false,
    });
    const app = await NestFactory.create<NestFastifyApplication>(
      createModule(options.context),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    configureFastify(adapter.getInstance() as unknown as FastifyInstance);
    return new CallerServer(app);
  }

  /** Starts listening on `address`, an IP address and a port. */
  async listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await this.app.listen(Number(port), host ?? '127.0.0.1');
  }

  /** Stops accepting connections and waits for the open requests. */
  async close(): Promise<void> {
    await this.app.close();
  }
}

function configureFastify(fastify: FastifyInstance): void {
  fastify.removeAllContentTypeParsers();
  // Bodies stay bytes: services get them unchanged, and chat bodies are checked before use.
  fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
  fastify.setErrorHandler((error: FastifyError, _request, reply) => {
    const create = FAILURE_BY_ERROR_CODE[error.code as keyof typeof FAILURE_BY_ERROR_CODE];
    if (create) sendFailure(reply, create());
    else if (error.statusCode !== undefined && error.statusCode < 500) {
      sendFailure(reply, createFailure('malformed_request', 'the request cannot be read'));
    } else sendFailure(reply, createFailure('internal', 'the request failed inside the router'));
  });
  fastify.setNotFoundHandler((_request, reply) => {
    sendFailure(reply, createFailure('unknown_route', 'there is no such path'));
  });
}
