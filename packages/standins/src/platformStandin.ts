import type { Random } from '@cactusstair/utils';
import { createRandom, systemClock } from '@cactusstair/utils';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';

import { FaultTable } from './faultTable.js';
import type { HttpStandinOptions } from './httpStandin.js';
import { HttpStandin, isControlRequest, resetConnection } from './httpStandin.js';
import type { ListedInstance } from './instanceList.js';
import { InstanceList } from './instanceList.js';
import type { StoredObject, WriteCondition, WriteOutcome } from './objectTable.js';
import { ObjectTable } from './objectTable.js';
import { RateLimiter } from './rateLimiter.js';
import { WatchHub } from './watchHub.js';

/** Options of the object API. */
export interface PlatformOptions extends HttpStandinOptions {
  /** Delay with which the list of instances shows changes, in milliseconds. Default 5,000. */
  instanceLagMs?: number;
  /** Number of newest history events that keep the values of replaced objects. Default 10,000. */
  historyValues?: number;
}

/** Faults of the object API, by name. */
export const platformFaults = {
  /** Answers 503 and ends the watches; with the mode `silent`, sends nothing at all. */
  outage: { mode: z.enum(['refuse', 'silent']).default('refuse') },
  /** Delays each call by `delayMs` plus up to `jitterMs`. */
  slow: { delayMs: z.number().nonnegative(), jitterMs: z.number().nonnegative().default(0) },
  /** Executes a write and then drops its answer, with the given probability. */
  loseAnswer: {
    probability: z.number().min(0).max(1).default(1),
    mode: z.enum(['reset', 'silent']).default('reset'),
    kind: z.string().optional(),
  },
  /** Sends watch events late, twice or out of order. */
  watch: {
    delayMs: z.number().nonnegative().optional(),
    repeat: z.number().min(0).max(1).optional(),
    reorder: z.number().min(0).max(1).optional(),
  },
  /** Ends all open watches once. */
  endWatches: {},
  /** Answers reads (objects, lists, revision) with the state of `lagMs` ago. */
  staleReads: { lagMs: z.number().positive(), probability: z.number().min(0).max(1).default(1) },
  /** Answers 429 to calls above the given rates. */
  rateLimit: {
    readsPerSecond: z.number().positive().optional(),
    writesPerSecond: z.number().positive().optional(),
  },
  /** Stops all traffic on open connections without closing them; new connections work. */
  silence: {},
} satisfies Record<string, z.ZodRawShape>;

const VALUE_LIMIT_BYTES = 1_000_000;
const DEFAULT_INSTANCE_LAG_MS = 5000;
const DEFAULT_HISTORY_VALUES = 10_000;
const DEFAULT_PAGE_SIZE = 500;
const MAX_PAGE_SIZE = 1000;

interface ObjectParams {
  kind: string;
  name: string;
}

function readVersion(header: string | undefined): number | undefined {
  const match = /^"(\d+)"$/.exec(header ?? '');
  return match ? Number(match[1]) : undefined;
}

function readCondition(request: FastifyRequest): WriteCondition | undefined {
  if (request.headers['if-none-match'] === '*') return { type: 'absent' };
  const version = readVersion(request.headers['if-match']);
  return version === undefined ? undefined : { type: 'version', version };
}

function sendObject(reply: FastifyReply, status: number, object: StoredObject): FastifyReply {
  return reply.code(status).header('etag', `"${object.version}"`).send(object);
}

type OutcomeSenders = {
  [Type in WriteOutcome['type']]: (
    reply: FastifyReply,
    outcome: Extract<WriteOutcome, { type: Type }>,
  ) => FastifyReply;
};

const outcomeSenders: OutcomeSenders = {
  created: (reply, outcome) => sendObject(reply, 201, (outcome as { object: StoredObject }).object),
  updated: (reply, outcome) => sendObject(reply, 200, (outcome as { object: StoredObject }).object),
  deleted: (reply, { revision }) => reply.code(200).send({ revision }),
  conflict: (reply, { current }) =>
    reply
      .code(412)
      .header('etag', `"${current.version}"`)
      .send({ error: 'the condition does not hold', current }),
  not_found: (reply) => reply.code(404).send({ error: 'no such object' }),
};

/** The platform's object API with versions, conditional updates, watches and faults. */
export class PlatformStandin extends HttpStandin {
  readonly faults = new FaultTable(platformFaults);

  private readonly table: ObjectTable;

  private readonly instances: InstanceList;

  private readonly random: Random;

  private readonly hub: WatchHub;

  private readonly calls = { reads: 0, writes: 0, watches: 0 };

  private readonly limiters = { reads: new RateLimiter(), writes: new RateLimiter() };

  constructor(options: PlatformOptions = {}) {
    super(options, VALUE_LIMIT_BYTES);
    this.random = createRandom(options.seed ?? 1);
    this.table = new ObjectTable(options.historyValues ?? DEFAULT_HISTORY_VALUES);
    this.instances = new InstanceList(options.instanceLagMs ?? DEFAULT_INSTANCE_LAG_MS);
    this.hub = new WatchHub(this.table, this.random, () => this.faults.get('watch'));
    this.faults.setHandlers({
      // An outage also ends or silences the open watches.
      outage: ({ mode }) => {
        if (mode === 'silent') this.silenceConnections();
        else this.hub.endAll();
      },
      endWatches: () => this.hub.endAll(),
      silence: () => this.silenceConnections(),
    });
    this.app.addHook('onRequest', (request, reply) => this.applyFaults(request, reply));
    this.faults.register(this.app);
    this.addObjectRoutes();
    this.addStoreRoutes();
    this.addInstanceRoutes();
  }

  protected override beforeClose(): void {
    this.hub.close();
  }

  private async applyFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    // The launcher writes the list of instances; these are not calls of the system under test.
    const isListWrite = request.method !== 'GET' && request.url.startsWith('/v1/instances/');
    if (isControlRequest(request) || isListWrite) return;
    this.countCall(request);
    const outage = this.faults.get('outage');
    if (outage?.mode === 'silent') {
      reply.hijack();
      return;
    }
    if (outage) {
      await reply.code(503).send({ error: 'unavailable' });
      return;
    }
    const slow = this.faults.get('slow');
    if (slow) await systemClock.sleep(slow.delayMs + this.random.next() * slow.jitterMs);
    const limit = this.faults.get('rateLimit');
    const type = request.method === 'GET' ? 'reads' : 'writes';
    if (limit && !this.limiters[type].tryTake(limit[`${type}PerSecond`])) {
      await reply.code(429).send({ error: `more than the allowed ${type} a second` });
    }
  }

  private countCall(request: FastifyRequest): void {
    if (request.url.startsWith('/v1/watch')) this.calls.watches += 1;
    else if (request.method === 'GET') this.calls.reads += 1;
    else this.calls.writes += 1;
  }

  private addObjectRoutes(): void {
    this.app.get<{ Params: ObjectParams }>('/v1/objects/:kind/:name', (request, reply) => {
      const { kind, name } = request.params;
      const staleAtMs = this.getStaleTime();
      const object =
        staleAtMs === undefined
          ? this.table.get(kind, name)
          : this.table.getKindAt(kind, staleAtMs).get(name);
      if (!object) return outcomeSenders.not_found(reply, { type: 'not_found' });
      return sendObject(reply, 200, object);
    });
    this.app.get<{ Params: { kind: string }; Querystring: { after?: string; limit?: string } }>(
      '/v1/objects/:kind',
      (request) => {
        const { after = '', limit } = request.query;
        return this.listPage(request.params.kind, after, Number(limit ?? DEFAULT_PAGE_SIZE));
      },
    );
    this.app.put<{ Params: ObjectParams }>('/v1/objects/:kind/:name', (request, reply) => {
      const condition = readCondition(request);
      if (!condition) {
        return reply.code(400).send({ error: 'send If-Match: "{version}" or If-None-Match: *' });
      }
      const { kind, name } = request.params;
      return this.answerWrite(kind, reply, this.table.put(kind, name, request.body, condition));
    });
    this.app.delete<{ Params: ObjectParams }>('/v1/objects/:kind/:name', (request, reply) => {
      const version = readVersion(request.headers['if-match']);
      if (version === undefined) {
        return reply.code(400).send({ error: 'send If-Match: "{version}"' });
      }
      const { kind, name } = request.params;
      return this.answerWrite(kind, reply, this.table.remove(kind, name, version));
    });
  }

  private addStoreRoutes(): void {
    this.app.get('/v1/revision', () => {
      const staleAtMs = this.getStaleTime();
      return {
        revision:
          staleAtMs === undefined ? this.table.revision : this.table.getRevisionAt(staleAtMs),
      };
    });
    this.app.get<{ Querystring: { kinds?: string; from?: string } }>(
      '/v1/watch',
      (request, reply) => {
        const { kinds = '', from = '0' } = request.query;
        reply.hijack();
        this.hub.add(reply.raw, kinds.split(',').filter(Boolean), Number(from));
      },
    );
    this.app.get('/v1/calls', () => ({ ...this.calls, openWatches: this.hub.size }));
    this.app.get<{ Querystring: { from?: string } }>('/v1/history', (request) => ({
      events: this.table.getHistory(Number(request.query.from ?? 0)),
    }));
  }

  private addInstanceRoutes(): void {
    this.app.get('/v1/instances', () => ({ instances: this.instances.getVisible() }));
    this.app.put<{ Params: { name: string }; Body: Omit<ListedInstance, 'name'> }>(
      '/v1/instances/:name',
      (request) => {
        const { name } = request.params;
        this.instances.record(name, { ...request.body, name });
        return { ok: true };
      },
    );
    this.app.delete<{ Params: { name: string } }>('/v1/instances/:name', (request) => {
      this.instances.record(request.params.name, undefined);
      return { ok: true };
    });
  }

  private listPage(kind: string, after: string, limit: number) {
    const size = Math.min(Math.max(1, limit), MAX_PAGE_SIZE);
    const staleAtMs = this.getStaleTime();
    const objects =
      staleAtMs === undefined
        ? this.table.list(kind, after, size + 1)
        : [...this.table.getKindAt(kind, staleAtMs).values()]
            .filter((object) => object.name > after)
            .sort((a, b) => (a.name < b.name ? -1 : 1))
            .slice(0, size + 1);
    return {
      objects: objects.slice(0, size),
      more: objects.length > size,
      revision: staleAtMs === undefined ? this.table.revision : this.table.getRevisionAt(staleAtMs),
    };
  }

  private answerWrite(kind: string, reply: FastifyReply, outcome: WriteOutcome): FastifyReply {
    const [event] =
      'object' in outcome || outcome.type === 'deleted'
        ? this.table.getEventsAfter(this.table.revision - 1)
        : [];
    if (event) this.hub.publish(event);
    const lost = this.faults.get('loseAnswer');
    const isLost =
      event !== undefined &&
      lost !== undefined &&
      (lost.kind === undefined || lost.kind === kind) &&
      this.random.next() < lost.probability;
    if (!isLost) return outcomeSenders[outcome.type](reply, outcome as never);
    this.faults.take('loseAnswer');
    if (lost.mode === 'silent') reply.hijack();
    else resetConnection(reply);
    return reply;
  }

  /** Returns the past time whose state a stale read returns, or undefined for a current read. */
  private getStaleTime(): number | undefined {
    const stale = this.faults.get('staleReads');
    if (!stale || this.random.next() >= stale.probability) return undefined;
    return Date.now() - stale.lagMs;
  }
}
