import type { EventSourceMessage } from 'eventsource-parser';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import type { UpstreamNotice } from '@cactusstair/routing';

import type { Link } from './link.js';
import { classifyCallError, UpstreamCallError } from './upstreamCallError.js';
import { readNotice } from './upstreamNotice.js';

/** One call to a model engine. */
export interface EngineCall {
  requestId: string;
  /** Number of this call among the calls of one request, from 1. */
  attempt: number;
  model: string;
  version: string;
  /** Body of the caller's request in the chat completions format. */
  body: Record<string, unknown>;
  priority: number;
  /** Number of tokens that earlier attempts delivered; generation continues after them. */
  resumeFrom: number;
  resumeText: string;
  firstTokenTimeoutMs: number;
  interTokenTimeoutMs: number;
  /** Called with what the head of the answer says about the engine. */
  onNotice: (notice: UpstreamNotice) => void;
  signal: AbortSignal;
}

/** Token counts of an answer. */
export interface Usage {
  promptTokens: number;
  completionTokens: number;
}

/** A part of an engine's answer. */
export type EngineEvent =
  | { type: 'token'; text: string }
  | {
      type: 'done';
      finishReason: string;
      usage: Usage | undefined;
      /** Opaque value of the engine that is passed on to the rating service. */
      quality: number | undefined;
    };

/** Fields of a chunk's `delta` that engines send; a spoilt name is none of them. */
const DELTA_FIELDS = [
  'role',
  'content',
  'refusal',
  'reasoning',
  'reasoning_content',
  'tool_calls',
  'function_call',
  'audio',
];

const chunkSchema = z.looseObject({
  x_quality: z.number().optional(),
  usage: z.looseObject({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
  choices: z.array(
    z.looseObject({
      delta: z.looseObject({ content: z.string().nullish() }).optional(),
      finish_reason: z.string().nullish(),
    }),
  ),
});

type ChunkChoice = z.infer<typeof chunkSchema>['choices'][number];

const MIN_SERVER_ERROR_STATUS = 500;
/** Bounds the memory for an event whose end has not come, in bytes. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Calls the chat completions API of model engines, always as a stream. */
export class EngineClient {
  /**
   * Yields the tokens of the answer as they arrive and one `done` event at its end.
   *
   * @throws UpstreamCallError when the answer is cut off, makes no progress in time or belongs to
   * another request.
   */
  async *streamChat(link: Link, call: EngineCall): AsyncGenerator<EngineEvent> {
    try {
      yield* this.readAnswer(link, call);
    } catch (error) {
      throw classifyCallError(error);
    }
  }

  /** Cancels a request on an engine. Failures are ignored: the engine may have stopped. */
  async cancel(link: Link, requestId: string, attempt: number): Promise<void> {
    try {
      const answer = await link.dispatcher.request({
        method: 'POST',
        path: '/v1/cancel',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ requestId, attempt }),
        headersTimeout: 1000,
      });
      await answer.body.dump();
    } catch {
      // The engine frees the slot when it detects the closed connection.
    }
  }

  private async *readAnswer(link: Link, call: EngineCall): AsyncGenerator<EngineEvent> {
    const answer = await link.dispatcher.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        'content-type': 'application/json',
        'x-request-id': call.requestId,
        'x-attempt': String(call.attempt),
        'x-priority': String(call.priority),
      },
      body: JSON.stringify(createEngineBody(call)),
      headersTimeout: call.firstTokenTimeoutMs,
      bodyTimeout: call.interTokenTimeoutMs,
      signal: call.signal,
    });
    // Without a listener, a network error after the reader has stopped would be unhandled.
    answer.body.on('error', () => {});
    const echoedId = answer.headers['x-request-id'] ?? call.requestId;
    if (echoedId === call.requestId) {
      call.onNotice(readNotice(answer.statusCode, answer.headers));
    }
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      const kind = answer.statusCode >= MIN_SERVER_ERROR_STATUS ? 'status' : 'mismatch';
      throw new UpstreamCallError(
        kind,
        `the engine answered with status ${answer.statusCode}`,
        true,
      );
    }
    if (answer.headers['x-request-id'] !== call.requestId) {
      answer.body.destroy();
      throw new UpstreamCallError('mismatch', 'the answer belongs to another request', true);
    }
    yield* parseStream(answer.body);
  }
}

function createEngineBody(call: EngineCall): Record<string, unknown> {
  const body: Record<string, unknown> = {
    ...call.body,
    model: call.model,
    version: call.version,
    stream: true,
    stream_options: { include_usage: true },
  };
  if (call.resumeFrom > 0) {
    body.resume_from = call.resumeFrom;
    body.resume_text = call.resumeText;
  }
  return body;
}

async function* parseStream(body: AsyncIterable<Buffer>): AsyncGenerator<EngineEvent> {
  const messages: EventSourceMessage[] = [];
  // A line that is no field would be skipped, and the tokens in it with it.
  const parser = createParser({
    onEvent: (message) => messages.push(message),
    onError: ({ message }) => {
      throw new UpstreamCallError('mismatch', `the answer is no event stream: ${message}`, true);
    },
  });
  const decoder = new TextDecoder();
  const done: Extract<EngineEvent, { type: 'done' }> = {
    type: 'done',
    finishReason: '',
    usage: undefined,
    quality: undefined,
  };
  let bytesSinceEvent = 0;
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    bytesSinceEvent = messages.length > 0 ? 0 : bytesSinceEvent + bytes.length;
    if (bytesSinceEvent > MAX_EVENT_BYTES) {
      throw new UpstreamCallError('mismatch', 'an event of the answer has no end', true);
    }
    for (const message of messages.splice(0)) {
      if (message.data === '[DONE]') {
        if (done.finishReason === '') break;
        yield done;
        return;
      }
      const text = readChunk(message.data, done);
      if (text !== '') yield { type: 'token', text };
    }
  }
  // A body without the end marker is incomplete, even if the connection closed normally.
  throw new UpstreamCallError('crash', 'the answer ended before its end marker', true);
}

/** Whether a choice has a part of the answer, its end, or at least room for them. */
function hasKnownPart({ delta, finish_reason: finishReason }: ChunkChoice): boolean {
  if (finishReason) return true;
  if (!delta) return false;
  const names = Object.keys(delta);
  return names.length === 0 ? finishReason === null : names.some(isDeltaField);
}

function isDeltaField(name: string): boolean {
  return DELTA_FIELDS.includes(name);
}

/** Reads one chunk into `done` and returns its text. */
function readChunk(data: string, done: Extract<EngineEvent, { type: 'done' }>): string {
  let json: unknown;
  try {
    json = JSON.parse(data);
  } catch {
    throw new UpstreamCallError('mismatch', 'a chunk of the answer is not JSON', true);
  }
  const parsed = chunkSchema.safeParse(json);
  if (!parsed.success) {
    throw new UpstreamCallError(
      'mismatch',
      'a chunk of the answer does not match the schema',
      true,
    );
  }
  const { choices, usage, x_quality: quality } = parsed.data;
  if (usage) {
    done.usage = {
      promptTokens: usage.prompt_tokens,
      completionTokens: usage.completion_tokens,
    };
  }
  if (quality !== undefined) done.quality = quality;
  const choice = choices[0];
  if (choice && !hasKnownPart(choice)) {
    throw new UpstreamCallError('mismatch', 'a chunk of the answer holds nothing known', true);
  }
  if (choice?.finish_reason) done.finishReason = choice.finish_reason;
  return choice?.delta?.content ?? '';
}
