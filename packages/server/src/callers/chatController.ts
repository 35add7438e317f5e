import { Controller, Get, Inject, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';

import type { AnswerSink } from './answerSink.js';
import { StreamingSink, BufferedSink } from './answerSink.js';
import type { CallerContext } from './callerContext.js';
import { CALLER_CONTEXT } from './callerContext.js';
import type { ChatBody } from './chatBody.js';
import { parseChatBody } from './chatBody.js';
import { authenticateRequest, sendFailure } from './authenticateRequest.js';

/** Controller of the chat completions API. */
@Controller('v1')
export class ChatController {
  constructor(@Inject(CALLER_CONTEXT) private readonly context: CallerContext) {}

  @Post('chat/completions')
  async createCompletion(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const authenticated = authenticateRequest(this.context, request, reply);
    if (authenticated.isErr()) {
      sendFailure(reply, authenticated.error);
      return;
    }
    const bytes = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    const body = parseChatBody(bytes, this.context.limits);
    if (body.isErr()) {
      sendFailure(reply, body.error, authenticated.value.headers.requestId);
      return;
    }
    // The sink writes the answer directly to the raw response, bypassing Fastify.
    reply.hijack();
    await this.context.chat.handle(
      { ...authenticated.value, body: body.value },
      createSink(body.value, reply),
    );
  }

  @Get('models')
  listModels(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const authenticated = authenticateRequest(this.context, request, reply);
    if (authenticated.isErr()) {
      sendFailure(reply, authenticated.error);
      return;
    }
    const { workspace } = authenticated.value;
    const names = [
      ...workspace.allowedModels.map((allowed) => allowed.model),
      ...this.context.replica.getCascades(workspace.name).map((cascade) => cascade.name),
    ];
    const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'cactusstair' }));
    reply.send({ object: 'list', data });
  }
}

function createSink(body: ChatBody, reply: FastifyReply): AnswerSink {
  if (body.stream) return new StreamingSink(reply.raw, body.stream_options?.include_usage === true);
  return new BufferedSink(reply.raw);
}
