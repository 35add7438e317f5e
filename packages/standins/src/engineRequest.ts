import type { IncomingHttpHeaders } from 'node:http';

import { z } from 'zod';

const CHARS_PER_TOKEN = 4;

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
  z.null(),
]);

const bodySchema = z.looseObject({
  /** `model` or `model@version`. */
  model: z.string(),
  version: z.string().optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  metadata: z
    .looseObject({ expected_tokens: z.coerce.number().int().positive().optional() })
    .nullish(),
  /** Index of the first token to send; earlier ones were already received. */
  resume_from: z.number().int().nonnegative().nullish(),
});

/** A validated chat-completions request. */
export interface EngineRequest {
  requestId: string;
  attempt: string;
  /** Requests with a higher value are admitted first. */
  priority: number;
  model: string;
  version: string | undefined;
  prompt: string;
  promptTokens: number;
  /** Tokens of the whole answer. */
  tokenCount: number;
  finishReason: 'stop' | 'length';
  resumeFrom: number;
  stream: boolean;
}

type Content = z.infer<typeof contentSchema> | undefined;

function readContent(content: Content): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/**
 * Validates and parses a chat-completions request.
 *
 * @param createId generates the request id if the header `x-request-id` is missing.
 * @throws Error that names the invalid field.
 */
export function parseEngineRequest(
  body: unknown,
  headers: IncomingHttpHeaders,
  defaultTokens: number,
  createId: () => string,
): EngineRequest {
  const checked = bodySchema.safeParse(body);
  if (!checked.success) throw new Error(z.prettifyError(checked.error));
  const data = checked.data;
  const [model = '', version] = data.model.split('@');
  const prompt = data.messages
    .map((message) => `${message.role}: ${readContent(message.content)}\n`)
    .join('');
  const limit = data.max_tokens ?? data.max_completion_tokens ?? undefined;
  const wanted = data.metadata?.expected_tokens ?? limit ?? defaultTokens;
  return {
    requestId: readHeader(headers, 'x-request-id') ?? createId(),
    attempt: readHeader(headers, 'x-attempt') ?? '1',
    priority: Number(readHeader(headers, 'x-priority') ?? 0) || 0,
    model,
    version: data.version ?? version,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
    tokenCount: Math.min(wanted, limit ?? Infinity),
    finishReason: wanted > (limit ?? Infinity) ? 'length' : 'stop',
    resumeFrom: data.resume_from ?? 0,
    stream: data.stream ?? false,
  };
}
