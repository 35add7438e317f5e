import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Agent, DecoratorHandler, request } from 'undici';
import type { Dispatcher } from 'undici';

import type {
  ObjectList,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchEvent,
} from './objectStore.js';

/** Options of `HttpObjectStore`. */
export interface HttpObjectStoreOptions {
  /** Base URL of the object API, for example http://127.0.0.1:9000. */
  baseUrl: string;
  /** Deadline of one call including its answer, in milliseconds. */
  timeoutMs: number;
  /** Objects requested per page of a list. Default 100. */
  pageSize?: number;
}

// An object may have 1 MB; a page of this size can still be transferred before the deadline.
const DEFAULT_PAGE_SIZE = 100;

// Statuses of calls that the store rejected without effect. Other 5xx statuses can come from a
// gateway after the store has executed the call.
const NO_EFFECT_STATUSES = new Set([429, 501, 503, 505]);

interface Call {
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string;
}

/** Calls `onSend` when a request is about to be written to a connection. */
class SendObserver extends DecoratorHandler {
  constructor(
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly onSend: () => void,
  ) {
    super(inner);
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: object): void {
    this.onSend();
    this.inner.onRequestStart?.(controller, context);
  }
}

/** The platform's object API over HTTP. */
export class HttpObjectStore implements ObjectStore {
  private readonly agent: Agent;

  private readonly baseUrl: string;

  constructor(private readonly options: HttpObjectStoreOptions) {
    this.baseUrl = options.baseUrl.replace(/\/+$/, '');
    this.agent = new Agent({ connect: { timeout: options.timeoutMs } });
  }

  get(kind: string, name: string): StoreResult<StoredObject> {
    return this.call({ method: 'GET', path: formatObjectPath(kind, name) }, parseObject);
  }

  async list(kind: string): StoreResult<ObjectList> {
    const limit = this.options.pageSize ?? DEFAULT_PAGE_SIZE;
    const objects: StoredObject[] = [];
    // Pages may come from replicas of different age, so the oldest one counts.
    let revision = Infinity;
    let after = '';
    for (;;) {
      const query = new URLSearchParams({ after, limit: String(limit) });
      const path = `/v1/objects/${encodeURIComponent(kind)}?${query.toString()}`;
      const page = await this.call({ method: 'GET', path }, parsePage);
      if (page.isErr()) return err(page.error);
      objects.push(...page.value.objects);
      revision = Math.min(revision, page.value.revision);
      // The store may return fewer objects than requested, so only an empty page ends the list.
      const last = page.value.objects.at(-1);
      if (!last) return ok({ objects, revision });
      if (last.name <= after) {
        return err({ type: 'unavailable', message: `the list of ${kind} repeats a page` });
      }
      after = last.name;
    }
  }

  create(kind: string, name: string, value: unknown): StoreResult<StoredObject> {
    return this.put(kind, name, value, { 'if-none-match': '*' });
  }

  update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): StoreResult<StoredObject> {
    return this.put(kind, name, value, { 'if-match': `"${expectedVersion}"` });
  }

  remove(kind: string, name: string, expectedVersion: number): StoreResult<{ revision: number }> {
    const headers = { 'if-match': `"${expectedVersion}"` };
    const path = formatObjectPath(kind, name);
    return this.call({ method: 'DELETE', path, headers }, (body) => ({
      revision: parseRevision(body),
    }));
  }

  getRevision(): StoreResult<number> {
    return this.call({ method: 'GET', path: '/v1/revision' }, parseRevision);
  }

  async *watch(
    kinds: readonly string[],
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent> {
    const query = new URLSearchParams({ kinds: kinds.join(','), from: String(fromRevision) });
    try {
      const answer = await request(`${this.baseUrl}/v1/watch?${query.toString()}`, {
        dispatcher: this.agent,
        signal,
        headersTimeout: this.options.timeoutMs,
        // A watch may have no events for a long time; its reader detects stalls.
        bodyTimeout: 0,
      });
      if (answer.statusCode !== 200) {
        await answer.body.dump();
        throw new Error(`the watch was refused with status ${answer.statusCode}`);
      }
      yield* parseEvents(answer.body);
    } catch (error) {
      if (!signal.aborted) throw error;
    }
  }

  /** Aborts open calls and watches and closes the connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private put(
    kind: string,
    name: string,
    value: unknown,
    condition: Record<string, string>,
  ): StoreResult<StoredObject> {
    const path = formatObjectPath(kind, name);
    const headers = { ...condition, 'content-type': 'application/json' };
    return this.call({ method: 'PUT', path, headers, body: JSON.stringify(value) }, parseObject);
  }

  private async call<T>(call: Call, parse: (body: unknown) => T): StoreResult<T> {
    let sent = false;
    const dispatcher = this.agent.compose(
      (dispatch) => (options, handler) =>
        dispatch(
          options,
          new SendObserver(handler, () => {
            sent = true;
          }),
        ),
    );
    const subject = `${call.method} ${call.path}`;
    try {
      const answer = await request(`${this.baseUrl}${call.path}`, {
        method: call.method,
        headers: call.headers ?? {},
        body: call.body ?? null,
        signal: AbortSignal.timeout(this.options.timeoutMs),
        dispatcher,
      });
      const text = await answer.body.text();
      return parseAnswer(call, answer.statusCode, text, parse);
    } catch (error) {
      // A read has no effect, so it makes no difference whether it was sent.
      const isWrite = call.method !== 'GET';
      const message = `${subject}: ${(error as Error).message}`;
      return err({ type: isWrite && sent ? 'unknown' : 'unavailable', message });
    }
  }
}

/** @throws Error when the body of a successful answer has the wrong shape. */
function parseAnswer<T>(
  call: Call,
  status: number,
  text: string,
  parse: (body: unknown) => T,
): Result<T, StoreFailure> {
  if (status >= 200 && status < 300) return ok(parse(JSON.parse(text)));
  if (status === 404) return err({ type: 'not_found' });
  if (status === 409 || status === 412) return err(parseConflict(text));
  const message = `${call.method} ${call.path}: status ${status}`;
  const isRefused = status < 500 || NO_EFFECT_STATUSES.has(status) || call.method === 'GET';
  return err({ type: isRefused ? 'unavailable' : 'unknown', message });
}

function parseConflict(text: string): StoreFailure {
  try {
    return { type: 'conflict', current: parseObject((JSON.parse(text) as JsonFields).current) };
  } catch {
    // The current object is optional in the answer.
    return { type: 'conflict' };
  }
}

type JsonFields = Record<string, unknown>;

function parseObject(body: unknown): StoredObject {
  const { kind, name, version, revision, value } = (body ?? {}) as JsonFields;
  if (
    typeof kind !== 'string' ||
    typeof name !== 'string' ||
    !Number.isSafeInteger(version) ||
    !Number.isSafeInteger(revision)
  ) {
    throw new Error('the answer is not a stored object');
  }
  return { kind, name, version: Number(version), revision: Number(revision), value };
}

function parsePage(body: unknown): ObjectList {
  const { objects } = (body ?? {}) as JsonFields;
  if (!Array.isArray(objects)) throw new Error('the answer is not a page of objects');
  return { objects: objects.map(parseObject), revision: parseRevision(body) };
}

function parseRevision(body: unknown): number {
  const { revision } = (body ?? {}) as JsonFields;
  if (!Number.isSafeInteger(revision)) throw new Error('the answer has no revision');
  return Number(revision);
}

const eventParsers: Record<string, (fields: JsonFields) => WatchEvent> = {
  put: (fields) => ({ type: 'put', object: parseObject(fields.object) }),
  delete: (fields) => ({
    type: 'delete',
    kind: String(fields.kind),
    name: String(fields.name),
    revision: parseRevision(fields),
  }),
  bookmark: (fields) => ({ type: 'bookmark', revision: parseRevision(fields) }),
};

async function* parseEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<WatchEvent> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    // The last element is an incomplete line, which is dropped if the connection breaks.
    rest = lines.pop() ?? '';
    for (const line of lines) {
      if (line.trim() === '') continue;
      const fields = JSON.parse(line) as JsonFields;
      const parse = eventParsers[String(fields.type)];
      if (!parse) throw new Error(`the watch sent an event of unknown type ${String(fields.type)}`);
      yield parse(fields);
    }
  }
}

function formatObjectPath(kind: string, name: string): string {
  return `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}
