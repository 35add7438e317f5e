import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

import type { Failure } from '@cactusstair/protocol';

import type { Usage } from '../upstreams/engineClient.js';
import { callerHeaderNames } from './callerHeaders.js';
import { createFailureAnswer } from './failureAnswer.js';

/** Metadata of an answer that is returned in response headers. */
export interface AnswerOrigin {
  requestId: string;
  model: string;
  version: string;
  sessionToken: string;
}

/** Finish reason, usage and cost of a complete answer. */
export interface AnswerEnd {
  finishReason: string;
  usage: Usage;
  costMicros: number;
}

/** Destination of an answer. `finish` sends the last bytes and is called after the bill is stored. */
export interface AnswerSink {
  /** Whether tokens are sent to the caller before the answer is complete. */
  readonly streaming: boolean;
  begin(origin: AnswerOrigin): void;
  writeToken(text: string): Promise<void>;
  finish(end: AnswerEnd): Promise<void>;
  fail(failure: Failure, requestId: string): void;
}

/** A caller that reads nothing for this long is disconnected. */
const CALLER_STALL_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1000;

function createOriginHeaders(origin: AnswerOrigin): Record<string, string> {
  return {
    [callerHeaderNames.requestId]: origin.requestId,
    [callerHeaderNames.model]: origin.model,
    [callerHeaderNames.version]: origin.version,
    [callerHeaderNames.session]: origin.sessionToken,
  };
}

function createUsage(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
  };
}

function sendJson(
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: unknown,
): void {
  response.writeHead(status, { ...headers, 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Buffers the answer and sends it as one chat completion. */
export class BufferedSink implements AnswerSink {
  readonly streaming = false;

  private origin: AnswerOrigin | undefined;

  private readonly parts: string[] = [];

  constructor(private readonly response: ServerResponse) {}

  /** Discards the buffered text: the answer of a higher rung replaces that of a lower one. */
  begin(origin: AnswerOrigin): void {
    this.origin = origin;
    this.parts.length = 0;
  }

  async writeToken(text: string): Promise<void> {
    this.parts.push(text);
  }

  async finish(end: AnswerEnd): Promise<void> {
    if (!this.origin) throw new Error('finish was called before begin');
    const headers = {
      ...createOriginHeaders(this.origin),
      [callerHeaderNames.costMicros]: String(end.costMicros),
    };
    sendJson(this.response, 200, headers, {
      id: `chatcmpl-${this.origin.requestId}`,
      object: 'chat.completion',
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model: this.origin.model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.parts.join('') },
          finish_reason: end.finishReason,
        },
      ],
      usage: createUsage(end.usage),
    });
  }

  fail(failure: Failure, requestId: string): void {
    const answer = createFailureAnswer(failure, requestId);
    sendJson(this.response, answer.status, answer.headers, answer.body);
  }
}

/** Sends tokens as server-sent events as they arrive. */
export class StreamingSink implements AnswerSink {
  readonly streaming = true;

  private origin: AnswerOrigin | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly includeUsage: boolean,
  ) {}

  begin(origin: AnswerOrigin): void {
    this.origin = origin;
  }

  async writeToken(text: string): Promise<void> {
    const first = !this.response.headersSent;
    if (first) this.sendHeaders();
    const delta = first ? { role: 'assistant', content: text } : { content: text };
    await this.writeEvent(this.createChunk({ delta, finish_reason: null }));
  }

  async finish(end: AnswerEnd): Promise<void> {
    if (!this.response.headersSent) this.sendHeaders();
    await this.writeEvent(this.createChunk({ delta: {}, finish_reason: end.finishReason }));
    if (this.includeUsage) {
      await this.writeEvent({ ...this.createChunk(), usage: createUsage(end.usage) });
    }
    this.response.write(`: cost-micros=${end.costMicros}\n\n`);
    this.response.end('data: [DONE]\n\n');
  }

  /** Ends a started stream with an error event and without the `[DONE]` marker. */
  fail(failure: Failure, requestId: string): void {
    const answer = createFailureAnswer(failure, requestId);
    if (this.response.headersSent) {
      this.response.end(`data: ${JSON.stringify(answer.body)}\n\n`);
    } else {
      sendJson(this.response, answer.status, answer.headers, answer.body);
    }
  }

  private sendHeaders(): void {
    if (!this.origin) throw new Error('a token was written before begin');
    this.response.writeHead(200, {
      ...createOriginHeaders(this.origin),
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
  }

  private createChunk(choice?: { delta: object; finish_reason: string | null }) {
    return {
      id: `chatcmpl-${this.origin?.requestId ?? ''}`,
      object: 'chat.completion.chunk',
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model: this.origin?.model,
      choices: choice ? [{ index: 0, ...choice }] : [],
    };
  }

  private async writeEvent(event: object): Promise<void> {
    if (this.response.write(`data: ${JSON.stringify(event)}\n\n`)) return;
    if (this.response.destroyed) return;
    try {
      await once(this.response, 'drain', { signal: AbortSignal.timeout(CALLER_STALL_TIMEOUT_MS) });
    } catch {
      this.response.destroy();
    }
  }
}
