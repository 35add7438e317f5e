import type { IncomingHttpHeaders } from 'node:http';

import type { UpstreamNotice } from '@cactusstair/routing';

/** One part of a prompt; a prompt lists its parts in order. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** A decoded request of a caller. */
export interface RelayRequest {
  /** Id that is unique to one attempt of the caller; empty when the caller sent none. */
  id: string;
  method: string;
  host: string;
  /** Path and query as received. */
  path: string;
  /** Headers to forward as alternating names and values, without those that the system sets. */
  forwardedHeaders: readonly string[];
  /** Time that the caller waits, in milliseconds; undefined when it sent none. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Requested model; `*` leaves the choice to the system. */
  model: string | undefined;
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the tokens that will be generated. */
  outputTokensHint: number | undefined;
  promptParts: readonly PromptPart[];
  /** Id of the last event received before a reconnect; undefined for a new stream. */
  lastEventId: string | undefined;
  /** Session of the request; undefined when it has none. */
  session: string | undefined;
  body: Buffer;
}

/** Fields that the system adds to a request for one attempt. */
export interface AttemptFields {
  upstreamId: string;
  /** Time left for the upstream, in whole milliseconds. */
  deadlineMs: number;
  workspace: string | undefined;
  model: string | undefined;
  /** From 0 (served first) to 9. */
  urgency: number | undefined;
  lastEventId: string | undefined;
  bodyBytes: number;
}

/** Decoded head of an upstream's answer. */
export interface AnswerHead {
  /** Request id that the upstream echoes. */
  requestId: string | undefined;
  /** Whether the upstream signed the answer. */
  isSigned: boolean;
  /** Whether the upstream states that it did not run the request. */
  isNotRun: boolean;
  /** The model's confidence in its answer, from 0 to 1. */
  confidence: number | undefined;
  isEncoded: boolean;
}

/** Translates between relay requests and the HTTP headers of a platform. */
export interface Dialect {
  /** Decodes the head of a caller's request. */
  decodeRequest(
    method: string,
    path: string,
    rawHeaders: readonly string[],
    headers: IncomingHttpHeaders,
  ): Omit<RelayRequest, 'body'>;
  /** Creates the headers of one attempt as alternating names and values. */
  encodeAttempt(request: RelayRequest, fields: AttemptFields): string[];
  decodeAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Decodes what the head of an answer says about the upstream. */
  decodeNotice(status: number, headers: IncomingHttpHeaders): UpstreamNotice;
  /** Returns the headers of an answer to forward to the caller, without hop-by-hop headers. */
  listAnswerHeaders(rawHeaders: readonly string[]): string[];
}
