import 'reflect-metadata';

import type { DynamicModule } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { BodyBudget } from '@cactusstair/routing';
import { guardConnections, ReceiveBudget, systemClock } from '@cactusstair/utils';
import type { FastifyInstance, FastifyReply } from 'fastify';

import { addBodyParser } from './callerBodies.js';
import type { CallerContext } from './callerContext.js';
import { CALLER_CONTEXT } from './callerContext.js';
import { answerClientError, answerExpectation, checkHost } from './clientErrors.js';
import { ChatController } from './chatController.js';
import { describeError, FailureFilter } from './failureFilter.js';
import { sendFailure } from './authenticateRequest.js';
import { ServiceController } from './serviceController.js';

/** Options of `CallerServer`. */
export interface CallerServerOptions {
  context: CallerContext;
  /** Maximum size of a request body in bytes. */
  maxBodyBytes: number;
  /** Memory for the request bodies of all callers together, in bytes. */
  bodyMemoryBytes: number;
  /** Maximum number of connections. */
  maxConnections: number;
  /** Maximum total size of the request headers in bytes. */
  maxHeaderBytes: number;
  /** Time limit for receiving a whole request, so that slow senders cannot hold sockets. */
  receiveTimeoutMs: number;
  /** Called for unexpected errors. */
  onError: (error: unknown) => void;
}

const IDLE_CONNECTION_TIMEOUT_MS = 60_000;
const MAX_CHECK_INTERVAL_MS = 5000;
/** Memory for what callers have sent and is not parsed yet, as a share of that for bodies. */
const RECEIVE_MEMORY_SHARE = 0.5;

class CallerModule {}

function createModule(context: CallerContext): DynamicModule {
  return {
    module: CallerModule,
    controllers: [ChatController, ServiceController],
    providers: [{ provide: CALLER_CONTEXT, useValue: context }],
  };
}

/** The HTTP server for callers. */
export class CallerServer {
  private constructor(private readonly app: NestFastifyApplication) {}

  static async create(options: CallerServerOptions): Promise<CallerServer> {
    const adapter = new FastifyAdapter({
      requestTimeout: options.receiveTimeoutMs,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      http: {
        maxHeaderSize: options.maxHeaderBytes,
        headersTimeout: options.receiveTimeoutMs,
        requestTimeout: options.receiveTimeoutMs,
        connectionsCheckingInterval: Math.min(options.receiveTimeoutMs, MAX_CHECK_INTERVAL_MS),
        // `checkHost` refuses requests without a Host header with a result code.
        requireHostHeader: false,
      },
      routerOptions: { maxParamLength: options.maxHeaderBytes },
      clientErrorHandler: answerClientError,
      frameworkErrors: (error: Error, _request: unknown, reply: FastifyReply) =>
        sendFailure(reply, describeError(error)),
      forceCloseConnections: 'idle',
      exposeHeadRoutes: false,
    });
    const app = await NestFactory.create<NestFastifyApplication>(
      createModule(options.context),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    app.useGlobalFilters(new FailureFilter(options.onError));
    configureFastify(adapter.getInstance<FastifyInstance>(), options);
    return new CallerServer(app);
  }

  /** Starts listening on `address`, an IP address and a port. */
  async listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await this.app.listen(Number(port), host ?? '127.0.0.1');
  }

  /** Stops accepting connections and waits for open requests to end. */
  async close(): Promise<void> {
    await this.app.close();
  }
}

function configureFastify(fastify: FastifyInstance, options: CallerServerOptions): void {
  const { context, maxConnections, bodyMemoryBytes } = options;
  fastify.addHook('onRequest', checkHost);
  // Closing a keep-alive connection at the end of the shutdown could reset a request that the caller
  // sends on it at the same moment, so callers are asked to close it earlier.
  fastify.addHook('onRequest', (_request, reply, done) => {
    if (context.isStopping()) reply.raw.setHeader('connection', 'close');
    done();
  });
  fastify.server.on('checkExpectation', answerExpectation);
  // Bodies are not parsed here: services receive the bytes unchanged, and chat bodies are validated
  // by `parseChatBody`.
  addBodyParser(fastify, {
    budget: new BodyBudget({ clock: systemClock, maxBytes: bodyMemoryBytes }),
    maxBodyBytes: options.maxBodyBytes,
    receiveTimeoutMs: options.receiveTimeoutMs,
    replica: context.replica,
  });
  guardConnections(fastify.server, {
    maxConnections,
    receiveBudget: new ReceiveBudget({
      clock: systemClock,
      maxBytes: bodyMemoryBytes * RECEIVE_MEMORY_SHARE,
    }),
  });
}
