import { Pool } from 'undici';
import type { Dispatcher } from 'undici';

/** Options of `Link`. */
export interface LinkOptions {
  connectTimeoutMs: number;
  /**
   * Connections that are idle for this long are closed, so that no call uses one that the other
   * side has dropped. Default 4000.
   */
  idleTimeoutMs?: number;
  /** Maximum number of connections. Default 256. */
  connections?: number;
}

const DEFAULT_IDLE_TIMEOUT_MS = 4000;
const DEFAULT_CONNECTIONS = 256;

/**
 * The connections from this instance to one upstream.
 *
 * A connection can stop delivering data for good while new ones work. `replace` therefore sends new
 * calls over new connections; the calls on the old ones end by their own timeouts.
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

  /** Runs a call on a new connection that no other call uses. */
  async withNewConnection<T>(run: (dispatcher: Dispatcher) => Promise<T>): Promise<T> {
    const pool = this.createPool(1);
    try {
      return await run(pool);
    } finally {
      // Unlike closing, destroying does not wait for the upstream. The answer has been read by now.
      await pool.destroy();
    }
  }

  /** Sends all further calls over new connections. */
  replace(): void {
    const old = this.pool;
    this.pool = this.createPool();
    this.retired.add(old);
    old.close().finally(() => this.retired.delete(old));
  }

  /** Rejects new calls and waits for the open ones, which end by their own timeouts. */
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
