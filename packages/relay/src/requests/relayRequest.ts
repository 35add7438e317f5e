import type { IncomingHttpHeaders } from 'node:http';

/** One part of a prompt, in order. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** A caller's request, decoded. */
export interface RelayRequest {
  /** Unique to one attempt of the caller; empty when the caller sent none. */
  id: string;
  method: string;
  host: string;
  /** Path and query as received. */
  path: string;
  /** Headers for the upstream, names and values in turn, without those that the system sets. */
  forwardedHeaders: readonly string[];
  /** How long the caller waits, in milliseconds; undefined when it did not say. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Model that the caller names; `*` leaves the choice to the system. */
  model: string | undefined;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the tokens that will be generated. */
  outputTokensHint: number | undefined;
  promptParts: readonly PromptPart[];
  /** Last event that the caller has of an earlier stream; undefined for a new one. */
  lastEventId: string | undefined;
  /** Session that the request belongs to; undefined without one. */
  session: string | undefined;
  body: Buffer;
}

/** What the system adds to a request for one upstream. */
export interface AttemptFields {
  upstreamId: string;
  /** Time left for the upstream, in whole milliseconds. */
  deadlineMs: number;
  workspace: string | undefined;
  model: string | undefined;
  /** From 0, served first, to 9. */
  urgency: number | undefined;
  lastEventId: string | undefined;
  bodyBytes: number;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
  /** Request that the answer belongs to, as the upstream echoes it. */
  requestId: string | undefined;
  /** Whether the upstream signed the answer. */
  isSigned: boolean;
  /** Whether the upstream states that it did not run the request. */
  isNotRun: boolean;
  /** The model's own opinion of the answer, from 0 to 1. */
  confidence: number | undefined;
  isEncoded: boolean;
}

/** Translates between the product's requests and the headers of a platform. */
export interface Dialect {
  /** Decodes a caller's request without its body. */
  decodeRequest(
    method: string,
    path: string,
    rawHeaders: readonly string[],
    headers: IncomingHttpHeaders,
  ): Omit<RelayRequest, 'body'>;
  /** Creates the headers of one attempt, names and values in turn. */
  encodeAttempt(request: RelayRequest, fields: AttemptFields): string[];
  decodeAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Returns an answer's headers for the caller, without those of one connection. */
  listAnswerHeaders(rawHeaders: readonly string[]): string[];
}
