import type { Failure } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import { visit } from 'jsonc-parser';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

const MAX_NAME_LENGTH = 200;
const MAX_MESSAGES = 1000;
const MAX_NESTING = 32;

/** Maximum expected tokens of a request of the class `short`. */
const MAX_SHORT_COMPLETION_TOKENS = 256;

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatBodySchema = z.looseObject({
  model: z.string().min(1).max(MAX_NAME_LENGTH),
  messages: z
    .array(
      z.looseObject({
        role: z.string().min(1).max(32),
        content: z.union([z.string(), z.array(contentPart)]).nullish(),
      }),
    )
    .min(1)
    .max(MAX_MESSAGES),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1, { error: 'must be 1' }).nullish(),
  metadata: z.record(z.string(), z.string()).nullish(),
});

/** A validated request body in the chat completions format. Unknown fields are forwarded. */
export type ChatBody = z.output<typeof chatBodySchema>;

export type RequestClass = 'short' | 'long';

/** Limits on what a caller may send. */
export interface ChatLimits {
  promptCharacters: number;
  completionTokens: number;
}

/** Parses and validates a request body. */
export function parseChatBody(bytes: Buffer, limits: ChatLimits): Result<ChatBody, Failure> {
  const text = bytes.toString('utf8');
  const problem = findJsonProblem(text);
  if (problem !== undefined) return err(createFailure('malformed_request', problem));
  const parsed = chatBodySchema.safeParse(JSON.parse(text));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const field = issue?.path.join('.') || 'the body';
    return err(createFailure('malformed_request', `${field}: ${issue?.message ?? 'is invalid'}`));
  }
  return checkSizes(parsed.data, limits);
}

function checkSizes(body: ChatBody, limits: ChatLimits): Result<ChatBody, Failure> {
  const promptLength = getPromptText(body).length;
  if (promptLength > limits.promptCharacters) {
    const message = `the prompt has ${promptLength} characters, the limit is ${limits.promptCharacters}`;
    return err(createFailure('request_too_large', message));
  }
  // Engines differ in which of the two fields they honor.
  const completionTokens = Math.max(body.max_completion_tokens ?? 0, body.max_tokens ?? 0);
  if (completionTokens > limits.completionTokens) {
    const message = `max_tokens is ${completionTokens}, the limit is ${limits.completionTokens}`;
    return err(createFailure('request_too_large', message));
  }
  return ok(body);
}

/**
 * Returns the first JSON error: a syntax error, excessive nesting or a duplicate key. Parsers differ
 * in which duplicate they use, so an upstream could read a different request than the validated one.
 */
function findJsonProblem(text: string): string | undefined {
  if (isNestedTooDeep(text)) return `the body is nested deeper than ${MAX_NESTING} levels`;
  let problem: string | undefined;
  const keysByLevel: Set<string>[] = [];
  const enter = () => {
    keysByLevel.push(new Set());
  };
  const leave = () => {
    keysByLevel.pop();
  };
  visit(
    text,
    {
      onObjectBegin: enter,
      onObjectEnd: leave,
      onArrayBegin: enter,
      onArrayEnd: leave,
      onObjectProperty: (key) => {
        const keys = keysByLevel.at(-1);
        if (keys?.has(key)) problem ??= `the key ${JSON.stringify(key.slice(0, 64))} is repeated`;
        keys?.add(key);
      },
      onError: (_error, offset) => {
        problem ??= `the body is not valid JSON at offset ${offset}`;
      },
    },
    { disallowComments: true, allowTrailingComma: false, allowEmptyContent: false },
  );
  return problem;
}

/**
 * Checks the nesting before parsing: the parser is recursive, and a body within the size limit can
 * be nested deeply enough to overflow its stack.
 */
function isNestedTooDeep(text: string): boolean {
  let depth = 0;
  for (const [token] of text.matchAll(/"(?:[^"\\]|\\.)*"?|[[\]{}]/gs)) {
    if (token === '[' || token === '{') depth += 1;
    else if (token === ']' || token === '}') depth -= 1;
    if (depth > MAX_NESTING) return true;
  }
  return false;
}

/** Returns the text of all messages, with their roles, as one string. */
export function getPromptText(body: ChatBody): string {
  return listMessageTexts(body).join('');
}

/** Returns the text of each message with its role. */
export function listMessageTexts(body: ChatBody): string[] {
  return body.messages.map(({ role, content }) => {
    const text =
      typeof content === 'string'
        ? content
        : (content ?? []).map((part) => part.text ?? '').join('');
    return `${role}: ${text}\n`;
  });
}

/** Estimates how many tokens the answer will have. */
export function estimateCompletionTokens(body: ChatBody): number {
  const hint = Number(body.metadata?.expected_tokens);
  if (Number.isInteger(hint) && hint > 0) return hint;
  return body.max_completion_tokens ?? body.max_tokens ?? MAX_SHORT_COMPLETION_TOKENS;
}

/** Returns the request class, which selects queue limits and metric labels. */
export function classifyRequest(body: ChatBody): RequestClass {
  return estimateCompletionTokens(body) <= MAX_SHORT_COMPLETION_TOKENS ? 'short' : 'long';
}
