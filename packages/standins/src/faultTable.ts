import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';

type FaultShapes = Record<string, z.ZodRawShape>;

/** Parameters of one fault. Every fault accepts `durationMs`, after which it ends by itself. */
export type FaultParameters<Shape extends z.ZodRawShape> = z.infer<z.ZodObject<Shape>>;

/** Called when a fault is injected, in addition to marking it active. */
export type FaultHandlers<Shapes extends FaultShapes> = {
  [Name in keyof Shapes]?: (parameters: FaultParameters<Shapes[Name]>) => void;
};

interface ActiveFault {
  parameters: Record<string, unknown>;
  endsAtMs: number;
  remaining: number;
}

const clearSchema = z.strictObject({ fault: z.literal('clear'), name: z.string().optional() });

/**
 * Faults of one stand-in, by name.
 *
 * `POST /fault` takes `{"fault": "<name>", "durationMs"?: number, "count"?: number, ...parameters}`
 * and `{"fault": "clear", "name"?: "<name>"}`; `GET /fault` lists the active faults.
 */
export class FaultTable<Shapes extends FaultShapes> {
  private readonly active = new Map<string, ActiveFault>();

  private readonly schemas: Map<string, z.ZodObject>;

  private handlers: FaultHandlers<Shapes> = {};

  constructor(
    shapes: Shapes,
    private readonly clock: Clock = systemClock,
  ) {
    this.schemas = new Map(
      Object.entries(shapes).map(([name, shape]) => [
        name,
        z.strictObject({
          ...shape,
          fault: z.literal(name),
          durationMs: z.number().positive().optional(),
          count: z.number().int().positive().optional(),
        }),
      ]),
    );
  }

  /** Sets the handlers, by fault name. */
  setHandlers(handlers: FaultHandlers<Shapes>): void {
    this.handlers = handlers;
  }

  /** Returns the parameters of an active fault. */
  get<Name extends keyof Shapes & string>(name: Name): FaultParameters<Shapes[Name]> | undefined {
    const fault = this.active.get(name);
    if (fault && this.clock.monotonicMs() < fault.endsAtMs) {
      return fault.parameters as FaultParameters<Shapes[Name]>;
    }
    this.active.delete(name);
    return undefined;
  }

  /** Like `get`, but also counts down the `count` occurrences of the fault. */
  take<Name extends keyof Shapes & string>(name: Name): FaultParameters<Shapes[Name]> | undefined {
    const parameters = this.get(name);
    const fault = this.active.get(name);
    if (!parameters || !fault) return undefined;
    fault.remaining -= 1;
    if (fault.remaining <= 0) this.active.delete(name);
    return parameters;
  }

  /** Ends one fault, or all faults if no name is given. */
  clear(name?: string): void {
    if (name === undefined) this.active.clear();
    else this.active.delete(name);
  }

  /**
   * Validates and injects a fault.
   *
   * @param schedule schedules the call of the fault's handler. Default: immediately.
   * @throws Error that lists the known faults or names the invalid parameter.
   */
  inject(body: unknown, schedule: (run: () => void) => void = (run) => run()): void {
    const clear = clearSchema.safeParse(body);
    if (clear.success) {
      this.clear(clear.data.name);
      return;
    }
    const name = String((body as { fault?: unknown } | null)?.fault);
    const schema = this.schemas.get(name);
    if (!schema) {
      const known = [...this.schemas.keys(), 'clear'].join(', ');
      throw new Error(`unknown fault "${name}"; use one of: ${known}`);
    }
    const checked = schema.safeParse(body);
    if (!checked.success) throw new Error(z.prettifyError(checked.error));
    const { durationMs, count, ...parameters } = checked.data as {
      durationMs?: number;
      count?: number;
    };
    this.active.set(name, {
      parameters,
      endsAtMs: this.clock.monotonicMs() + (durationMs ?? Infinity),
      remaining: count ?? Infinity,
    });
    schedule(() => this.handlers[name]?.(parameters as never));
  }

  /** Adds `POST /fault` and `GET /fault`. */
  register(app: FastifyInstance): void {
    app.get('/fault', () => ({
      active: [...this.active.keys()]
        .filter((name) => this.get(name))
        .map((name) => ({ ...this.active.get(name)?.parameters, fault: name })),
    }));
    app.post('/fault', (request, reply) => {
      try {
        // Handlers can reset or silence this connection, so they run after the answer is sent.
        this.inject(request.body, (run) => reply.raw.once('finish', run));
        return reply.send({ ok: true });
      } catch (error) {
        return reply.code(400).send({ error: (error as Error).message });
      }
    });
  }
}
