import { Pool } from 'undici';
import type { Dispatcher } from 'undici';

/** Options of a link to an upstream. */
export interface LinkOptions {
  connectTimeoutMs: number;
  /** Idle connections older than this are closed, so that a forgotten one is not used. */
  idleTimeoutMs?: number;
  /** Connections at most. Default 256. */
  connections?: number;
}

const DEFAULT_IDLE_TIMEOUT_MS = 4000;
const DEFAULT_CONNECTIONS = 256;

/**
 * The connections from this instance to one upstream.
 *
 * A connection can go silent for good while new ones work. `replace` therefore moves new calls
 * to new connections and lets the calls on the old ones run to their own timeouts.
 */
export class Link {
  private pool: Pool;

  private readonly retired = new Set<Pool>();

  constructor(
    readonly url: string,
    private readonly options: LinkOptions,
  ) {
    this.pool = this.createPool();
  }

  /** The dispatcher for calls that may be repeated. */
  get dispatcher(): Dispatcher {
    return this.pool;
  }

  /** Runs a call on a connection that nobody has used before. */
  async withNewConnection<T>(run: (dispatcher: Dispatcher) => Promise<T>): Promise<T> {
    const pool = this.createPool(1);
    try {
      return await run(pool);
    } finally {
      // Destroying does not wait for a silent peer; the answer has been read by then.
      await pool.destroy();
    }
  }

  /** Opens new connections for the calls to come. */
  replace(): void {
    const old = this.pool;
    this.pool = this.createPool();
    this.retired.add(old);
    old.close().finally(() => this.retired.delete(old));
  }

  /** Takes no new calls and waits for the open ones, which end by their own timeouts. */
  async close(): Promise<void> {
    await Promise.all([this.pool, ...this.retired].map((pool) => pool.close()));
  }

  private createPool(connections = this.options.connections ?? DEFAULT_CONNECTIONS): Pool {
    return new Pool(this.url, {
      connections,
      pipelining: 1,
      connect: { timeout: this.options.connectTimeoutMs },
      keepAliveTimeout: this.options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: this.options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
    });
  }
}
