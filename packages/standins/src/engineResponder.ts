import type { Random } from '@cactusstair/utils';
import type { FastifyReply } from 'fastify';

import type { BatchScheduler } from './batchScheduler.js';
import type { EngineFaultTable } from './engineAdmission.js';
import {
  createEndEvents,
  createErrorEvent,
  createJsonAnswer,
  createRoleEvent,
  createTokenEvent,
} from './engineAnswer.js';
import type { EngineRun } from './engineRun.js';
import { resetConnection } from './httpStandin.js';
import type { TokenGenerator } from './tokenGenerator.js';

/** Runs admitted requests and sends their answers. */
export class EngineResponder {
  constructor(
    private readonly generator: TokenGenerator,
    private readonly faults: EngineFaultTable,
    private readonly random: Random,
  ) {}

  /** Answers with one JSON object after the last token. */
  async answerJson(
    run: EngineRun,
    reply: FastifyReply,
    scheduler: BatchScheduler,
  ): Promise<unknown> {
    const tokens: number[] = [];
    for await (const index of this.generator.generate(run, scheduler)) tokens.push(index);
    if (run.stopCause) return this.answerStopped(run, reply);
    run.finish('done');
    const lost = this.faults.get('loseAnswer');
    if (lost && this.random.next() < lost.probability) {
      this.faults.take('loseAnswer');
      resetConnection(reply);
      return reply;
    }
    return reply.send(createJsonAnswer(run, tokens));
  }

  /** Answers with one server-sent event per token. */
  async answerStream(
    run: EngineRun,
    reply: FastifyReply,
    scheduler: BatchScheduler,
  ): Promise<unknown> {
    const cut = this.faults.get('cutStream');
    const isCut = cut !== undefined && this.random.next() < cut.probability;
    if (isCut) this.faults.take('cutStream');
    reply.hijack();
    const { raw } = reply;
    raw.writeHead(200, {
      ...(reply.getHeaders() as Record<string, string>),
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
    raw.write(createRoleEvent(run));
    let sent = 0;
    for await (const index of this.generator.generate(run, scheduler)) {
      if (isCut && sent >= cut.afterTokens) {
        run.finish('failed', 'stream cut');
        resetConnection(reply);
        return reply;
      }
      raw.write(this.spoilEvent(createTokenEvent(run, index), sent));
      sent += 1;
    }
    if (run.stopCause) {
      raw.end(createErrorEvent(run.stopCause, 'the request was stopped before its end'));
      return reply;
    }
    run.finish('done');
    raw.end(createEndEvents(run));
    return reply;
  }

  private spoilEvent(event: string, sent: number): string {
    const spoilt = this.faults.get('spoilEvent');
    if (spoilt?.afterTokens !== sent) return event;
    this.faults.take('spoilEvent');
    return event.replace(spoilt.text, spoilt.replacement);
  }

  /** Answers a request that was stopped while it was queued, or that asked for no stream. */
  answerStopped(run: EngineRun, reply: FastifyReply): FastifyReply {
    const type = run.stopCause ?? 'stopped';
    return reply.code(499).send({ error: { type, message: 'the request was stopped' } });
  }
}
