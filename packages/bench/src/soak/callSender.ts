import { Agent } from 'undici';

import type { CallRecord, RequestKind } from './recording.js';

/** A request to send. */
export interface CallPlan {
  requestId: string;
  kind: RequestKind;
  workspace: string;
  model: string;
  stream: boolean;
  /** Number of tokens of the answer; 0 for service calls. */
  tokens: number;
  prompt?: string;
  session?: number;
  sessionToken?: string;
  idempotencyKey?: string;
  /** Path of a service call; undefined for a chat request. */
  servicePath?: string;
  method?: 'GET' | 'POST';
}

/** Entry instance that receives a request. */
export interface CallTarget {
  name: string;
  /** Base URL of the port for callers. */
  callers: string;
}

/** Record of a finished call and the session token from its answer. */
export interface SentCall {
  record: CallRecord;
  sessionToken: string | undefined;
}

// Exceeds all time limits of an entry instance with default settings for short answers.
const CALL_TIMEOUT_MS = 60_000;
const FAILURE_STATUS = 400;

function createBody(plan: CallPlan): string | null {
  if (plan.servicePath !== undefined) {
    return plan.method === 'POST' ? JSON.stringify({ call: plan.idempotencyKey }) : null;
  }
  return JSON.stringify({
    model: plan.model,
    stream: plan.stream,
    messages: [{ role: 'user', content: plan.prompt ?? `question ${plan.requestId}` }],
    metadata: { expected_tokens: String(plan.tokens) },
  });
}

interface ErrorBody {
  error: { code?: number; ran?: string; message?: string };
}

function isErrorBody(value: unknown): value is ErrorBody {
  return typeof value === 'object' && value !== null && 'error' in value;
}

function recordError(record: CallRecord, { error }: ErrorBody): void {
  if (error.code !== undefined) record.code = error.code;
  if (error.ran !== undefined) record.ran = error.ran;
  if (error.message !== undefined) record.message = error.message;
}

/** Parses the events of a streamed answer into the record. */
export function parseStream(body: string, record: CallRecord): void {
  for (const line of body.split('\n')) {
    const cost = /^: cost-micros=(\d+)$/.exec(line)?.[1];
    if (cost !== undefined) record.costMicros = Number(cost);
    if (!line.startsWith('data: ')) continue;
    const data = line.slice('data: '.length);
    if (data === '[DONE]') {
      record.complete = true;
      continue;
    }
    let event: unknown;
    try {
      event = JSON.parse(data);
    } catch {
      // The connection was lost in the middle of this event.
      continue;
    }
    if (isErrorBody(event)) recordError(record, event);
    const { choices } = event as { choices?: { delta?: { content?: string } }[] };
    record.text += choices?.[0]?.delta?.content ?? '';
  }
}

function parsePlain(body: string, record: CallRecord): void {
  const answer = JSON.parse(body) as { choices?: { message: { content: string } }[] };
  record.text = answer.choices?.[0]?.message.content ?? '';
  record.complete = true;
}

function readBody(body: string, plan: CallPlan, record: CallRecord): void {
  if ((record.status ?? 0) >= FAILURE_STATUS) {
    record.text = body;
    const parsed: unknown = JSON.parse(body);
    if (isErrorBody(parsed)) recordError(record, parsed);
  } else if (plan.servicePath !== undefined) {
    record.text = body;
    record.complete = true;
  } else if (plan.stream) {
    parseStream(body, record);
  } else {
    parsePlain(body, record);
  }
}

function readHeader(headers: Record<string, string | string[] | undefined>, name: string) {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Sends requests and records their results as seen by the caller. */
export class CallSender {
  readonly records: CallRecord[] = [];

  private readonly agent = new Agent({ connections: 256, pipelining: 1 });

  /** @param keys API key by workspace. */
  constructor(private readonly keys: ReadonlyMap<string, string>) {}

  async send(plan: CallPlan, target: CallTarget): Promise<SentCall> {
    const record: CallRecord = {
      requestId: plan.requestId,
      kind: plan.kind,
      workspace: plan.workspace,
      entry: target.name,
      model: plan.model,
      stream: plan.stream,
      expectedTokens: plan.tokens,
      sentAtMs: Date.now(),
      endedAtMs: Infinity,
      replayed: false,
      text: '',
      complete: false,
    };
    if (plan.session !== undefined) record.session = plan.session;
    if (plan.idempotencyKey !== undefined) record.idempotencyKey = plan.idempotencyKey;
    this.records.push(record);
    let sessionToken: string | undefined;
    let body = '';
    try {
      const answer = await this.agent.request({
        origin: target.callers,
        method: plan.method ?? 'POST',
        path: plan.servicePath ?? '/v1/chat/completions',
        headers: this.createHeaders(plan),
        body: createBody(plan),
        // Uses one connection per request, like separate callers behind the load balancer.
        reset: true,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      sessionToken = this.readHeaders(answer.statusCode, answer.headers, record);
      for await (const bytes of answer.body) body += String(bytes);
      readBody(body, plan, record);
    } catch (error) {
      record.error =
        `${(error as { code?: string }).code ?? ''} ${(error as Error).message}`.trim();
      if (plan.stream) parseStream(body, record);
    }
    record.endedAtMs = Date.now();
    return { record, sessionToken };
  }

  async close(): Promise<void> {
    await this.agent.close();
  }

  private createHeaders(plan: CallPlan): Record<string, string> {
    return {
      authorization: `Bearer ${this.keys.get(plan.workspace) ?? ''}`,
      'x-request-id': plan.requestId,
      ...(plan.method !== 'GET' && { 'content-type': 'application/json' }),
      ...(plan.sessionToken !== undefined && { 'x-cactusstair-session': plan.sessionToken }),
      ...(plan.idempotencyKey !== undefined && { 'idempotency-key': plan.idempotencyKey }),
    };
  }

  private readHeaders(
    status: number,
    headers: Record<string, string | string[] | undefined>,
    record: CallRecord,
  ): string | undefined {
    record.status = status;
    const texts = {
      answeredId: readHeader(headers, 'x-request-id'),
      answeredModel: readHeader(headers, 'x-cactusstair-model'),
      answeredVersion: readHeader(headers, 'x-cactusstair-version'),
      ran: readHeader(headers, 'x-cactusstair-ran'),
    };
    for (const [name, value] of Object.entries(texts)) {
      if (value !== undefined) Object.assign(record, { [name]: value });
    }
    const cost = readHeader(headers, 'x-cactusstair-cost-micros');
    if (cost !== undefined) record.costMicros = Number(cost);
    const code = readHeader(headers, 'x-cactusstair-code');
    if (code !== undefined) record.code = Number(code);
    record.replayed = readHeader(headers, 'x-cactusstair-replayed') === 'true';
    return readHeader(headers, 'x-cactusstair-session');
  }
}
