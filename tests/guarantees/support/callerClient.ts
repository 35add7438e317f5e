import { randomUUID } from 'node:crypto';

/** One answer as received by the caller. */
export interface CallerAnswer {
  requestId: string;
  /** HTTP status; 0 when the connection broke before the headers. */
  status: number;
  /** Result code of a failure; 0 without one. */
  code: number;
  /** Value of `x-cactusstair-ran`, or of `ran` in an error event. */
  ran: string | undefined;
  model: string | undefined;
  version: string | undefined;
  session: string | undefined;
  costMicros: number | undefined;
  /** Text of the answer: the message's content, or the body of a service's answer. */
  text: string;
  /** Whether the answer ended with status 200 or, in a stream, with the `[DONE]` marker. */
  isComplete: boolean;
  replayed: boolean;
  /** Message of a failure. */
  message: string | undefined;
  /** Why the connection broke, if it did. */
  connectionError: string | undefined;
}

/** Options of one request. */
export interface CallOptions {
  requestId?: string;
  session?: string;
  stream?: boolean;
  maxTokens?: number;
  prompt?: string;
  /** Text of a message before the prompt. */
  context?: string;
  signal?: AbortSignal;
  /** Called with the text of a stream received so far. Reading pauses until the promise resolves. */
  onText?: (text: string) => Promise<void> | void;
}

/** Options of one call to a plain service. */
export interface ServiceCallOptions {
  key?: string;
  requestId?: string;
  body?: string;
  path?: string;
  method?: string;
  signal?: AbortSignal;
}

interface ChatJson {
  choices?: { message?: { content?: string }; delta?: { content?: string } }[];
  error?: { code: number; ran: string; message: string };
}

const DEFAULT_TOKENS = 8;

function createAnswer(requestId: string): CallerAnswer {
  return {
    requestId,
    status: 0,
    code: 0,
    ran: undefined,
    model: undefined,
    version: undefined,
    session: undefined,
    costMicros: undefined,
    text: '',
    isComplete: false,
    replayed: false,
    message: undefined,
    connectionError: undefined,
  };
}

function readHeaders(answer: CallerAnswer, response: Response): void {
  const get = (name: string) => response.headers.get(`x-cactusstair-${name}`) ?? undefined;
  answer.status = response.status;
  answer.code = Number(get('code') ?? 0);
  answer.ran = get('ran');
  answer.model = get('model');
  answer.version = get('version');
  answer.session = get('session');
  const cost = get('cost-micros');
  if (cost !== undefined) answer.costMicros = Number(cost);
  answer.replayed = get('replayed') === 'true';
}

function readEvent(answer: CallerAnswer, line: string): void {
  const cost = /^: cost-micros=(\d+)$/.exec(line);
  if (cost) answer.costMicros = Number(cost[1]);
  if (!line.startsWith('data: ')) return;
  const data = line.slice('data: '.length);
  if (data === '[DONE]') {
    answer.isComplete = true;
    return;
  }
  const { choices, error } = JSON.parse(data) as ChatJson;
  answer.text += choices?.[0]?.delta?.content ?? '';
  if (error) {
    answer.code = error.code;
    answer.ran = error.ran;
    answer.message = error.message;
  }
}

async function readStream(
  answer: CallerAnswer,
  response: Response,
  onText: CallOptions['onText'],
): Promise<void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const bytes of response.body ?? []) {
    rest += decoder.decode(bytes as Uint8Array, { stream: true });
    const lines = rest.split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) readEvent(answer, line);
    await onText?.(answer.text);
  }
}

/** Client of the caller API for one workspace. Records every answer. */
export class CallerClient {
  /** All answers so far, for the checks at the end of a test file. */
  readonly answers: CallerAnswer[] = [];

  constructor(private readonly apiKey: string) {}

  /** Sends a chat request. Never rejects: a connection error is reported in the answer. */
  async chat(baseUrl: string, model: string, options: CallOptions = {}): Promise<CallerAnswer> {
    const { stream = false, maxTokens = DEFAULT_TOKENS, session, signal, onText } = options;
    const answer = this.addAnswer(options.requestId);
    const prompt = options.prompt ?? `Is a let serve replayed? ${answer.requestId}`;
    try {
      const response = await fetch(`${baseUrl}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          ...this.createHeaders(answer.requestId),
          ...(session === undefined ? {} : { 'x-cactusstair-session': session }),
        },
        body: JSON.stringify({
          model,
          stream,
          max_tokens: maxTokens,
          messages: [
            ...(options.context === undefined
              ? []
              : [{ role: 'system', content: options.context }]),
            { role: 'user', content: prompt },
          ],
        }),
        signal: signal ?? null,
      });
      readHeaders(answer, response);
      if (response.headers.get('content-type')?.startsWith('text/event-stream')) {
        await readStream(answer, response, onText);
      } else {
        const json = (await response.json()) as ChatJson;
        answer.text = json.choices?.[0]?.message?.content ?? '';
        answer.isComplete = response.status === 200;
        answer.message = json.error?.message;
      }
    } catch (error) {
      answer.connectionError = String(error);
    }
    return answer;
  }

  /** Calls a plain service. Like `chat`, never rejects. */
  async callService(
    baseUrl: string,
    service: string,
    options: ServiceCallOptions = {},
  ): Promise<CallerAnswer> {
    const { key, path = '/results', method = 'POST', signal } = options;
    const answer = this.addAnswer(options.requestId);
    try {
      const response = await fetch(`${baseUrl}/services/${service}${path}`, {
        method,
        headers: {
          ...this.createHeaders(answer.requestId),
          ...(key === undefined ? {} : { 'idempotency-key': key }),
        },
        body: method === 'GET' ? null : (options.body ?? JSON.stringify({ winner: 'A' })),
        signal: signal ?? null,
      });
      readHeaders(answer, response);
      answer.text = await response.text();
      answer.isComplete = response.status === 200;
    } catch (error) {
      answer.connectionError = String(error);
    }
    return answer;
  }

  private addAnswer(requestId: string = randomUUID()): CallerAnswer {
    const answer = createAnswer(requestId);
    this.answers.push(answer);
    return answer;
  }

  private createHeaders(requestId: string): Record<string, string> {
    return {
      authorization: `Bearer ${this.apiKey}`,
      'content-type': 'application/json',
      'x-request-id': requestId,
    };
  }
}
