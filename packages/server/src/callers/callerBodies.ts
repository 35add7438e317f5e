import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ConfigReplica } from '@cactusstair/coordination';
import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { BodyBudget, BodyResult } from '@cactusstair/routing';
import { readBody } from '@cactusstair/routing';
import type { FastifyInstance, FastifyRequest } from 'fastify';

import { authenticateCaller } from '../workspaces/callerIdentity.js';

/** Value of Retry-After when the memory for bodies is in use: about the time that bodies wait for it. */
const RETRY_AFTER_MS = 2000;
/** Share of the time for receiving a request that it may wait for memory; the body needs the rest. */
const MAX_WAIT_SHARE = 0.5;

type BodyProblem = Exclude<BodyResult['type'], 'whole'>;

const failureByProblem: Record<BodyProblem, () => Failure> = {
  cut: () => createFailure('malformed_request', 'the connection ended before the request'),
  too_long: () => createFailure('request_too_large', 'the request body is too large'),
  chunks_too_small: () =>
    createFailure('request_too_large', 'the request body comes in too many small chunks'),
  no_memory: () =>
    createFailure('overloaded', 'the memory for request bodies is in use', RETRY_AFTER_MS),
  too_slow: () =>
    createFailure(
      'overloaded',
      'the request body arrived too slowly while others waited for its memory',
      RETRY_AFTER_MS,
    ),
};

/** Error of a request whose body was not read to its end. */
export class BodyError extends Error {
  readonly failure: Failure;

  constructor(problem: BodyProblem) {
    const failure = failureByProblem[problem]();
    super(failure.message);
    this.failure = failure;
  }
}

/** Options of `addBodyParser`. */
export interface BodyParserOptions {
  /** Memory for the bodies of all callers together. */
  budget: BodyBudget;
  /** Maximum size of a request body in bytes. */
  maxBodyBytes: number;
  /** Time limit for receiving a whole request. */
  receiveTimeoutMs: number;
  replica: ConfigReplica;
}

/**
 * Makes a server read bodies as bytes, no faster than there is memory for them. The memory is kept
 * until the response is complete, because an attempt may be repeated.
 */
export function addBodyParser(fastify: FastifyInstance, options: BodyParserOptions): void {
  const { budget, maxBodyBytes, receiveTimeoutMs, replica } = options;
  const responses = new WeakMap<IncomingMessage, ServerResponse>();
  fastify.addHook('onRequest', (request, reply, done) => {
    responses.set(request.raw, reply.raw);
    done();
  });
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', async (request: FastifyRequest) => {
    const { result, release } = await readBody(request.raw, {
      maxBytes: maxBodyBytes,
      budget,
      owner: describeOwner(replica, request),
      maxWaitMs: receiveTimeoutMs * MAX_WAIT_SHARE,
    });
    if (result.type !== 'whole') throw new BodyError(result.type);
    const response = responses.get(request.raw);
    if (!response || response.destroyed) release();
    else response.once('close', release);
    return result.body;
  });
}

/** Returns who the memory for a body is counted for. */
function describeOwner(replica: ConfigReplica, { headers, ip }: FastifyRequest): string {
  return authenticateCaller(replica, headers.authorization).match(
    (workspace) => `workspace ${workspace.name}`,
    () => `address ${ip}`,
  );
}
