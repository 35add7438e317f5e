import { computeQuality, createToken } from './answerText.js';
import type { EngineRun } from './engineRun.js';

function createCommonFields(run: EngineRun, object: string) {
  const { requestId, attempt } = run.identity;
  return {
    id: `chatcmpl-${requestId}-${attempt}`,
    object,
    created: Math.floor(run.entry.receivedAtMs / 1000),
    model: `${run.request.model}@${run.version}`,
  };
}

function createUsageFields(run: EngineRun) {
  const { promptTokens, tokenCount, model } = run.request;
  return {
    // Counts the whole answer, even if this run resumed it and sent only the rest.
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokenCount,
      total_tokens: promptTokens + tokenCount,
    },
    x_quality: computeQuality({
      requestId: run.identity.requestId,
      model,
      version: run.version,
      meanQuality: run.meanQuality,
    }),
  };
}

/** Builds the JSON answer of a request without `stream`. */
export function createJsonAnswer(run: EngineRun, tokens: number[]) {
  const content = tokens.map((index) => createToken(run.identity.requestId, index)).join('');
  return {
    ...createCommonFields(run, 'chat.completion'),
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content },
        finish_reason: run.request.finishReason,
      },
    ],
    ...createUsageFields(run),
  };
}

function createChunk(run: EngineRun, delta: object, finishReason: string | null, tail: object) {
  const chunk = {
    ...createCommonFields(run, 'chat.completion.chunk'),
    choices: [{ index: 0, delta, finish_reason: finishReason }],
    ...tail,
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** The first event of a stream. */
export function createRoleEvent(run: EngineRun): string {
  return createChunk(run, { role: 'assistant', content: '' }, null, {});
}

/** The event of one token. */
export function createTokenEvent(run: EngineRun, index: number): string {
  return createChunk(run, { content: createToken(run.identity.requestId, index) }, null, {});
}

/** The last events of a complete stream. */
export function createEndEvents(run: EngineRun): string {
  return `${createChunk(run, {}, run.request.finishReason, createUsageFields(run))}data: [DONE]\n\n`;
}

/** The last event of a stream that is not complete. */
export function createErrorEvent(type: string, message: string): string {
  return `data: ${JSON.stringify({ error: { type, message } })}\n\n`;
}
