import { guardConnections, ReceiveBudget, SharedCall, systemClock } from '@cactusstair/utils';
import type { FastifyInstance } from 'fastify';
import { fastify } from 'fastify';
import type { Registry } from 'prom-client';

/** Returns why the instance is not ready, or undefined if it is. */
export type ReadinessCheck = () => string | undefined;

/** Options of `MonitoringServer`. */
export interface MonitoringServerOptions {
  registry: Registry;
  /** Maximum number of connections. */
  maxConnections: number;
  checkReadiness: ReadinessCheck;
}

/** Largest body that is read before a request is refused; no path of this server has a body. */
const MAX_BODY_BYTES = 1024;
/** Memory for what was received on all connections and is not parsed yet. */
const MAX_RECEIVED_BYTES = 4 * 1024 * 1024;

/** Formatting takes some milliseconds; a scrape needs no newer text. */
const MAX_METRICS_AGE_MS = 20;

/** Serves `/metrics`, `/healthz` and `/readyz` for operators and the load balancer. */
export class MonitoringServer {
  private readonly app: FastifyInstance;

  constructor({ registry, maxConnections, checkReadiness }: MonitoringServerOptions) {
    this.app = fastify({ forceCloseConnections: true, bodyLimit: MAX_BODY_BYTES });
    const receiveBudget = new ReceiveBudget({ clock: systemClock, maxBytes: MAX_RECEIVED_BYTES });
    guardConnections(this.app.server, { maxConnections, receiveBudget });
    const metrics = new SharedCall({
      clock: systemClock,
      maxAgeMs: MAX_METRICS_AGE_MS,
      call: () => registry.metrics(),
    });
    this.app.get('/metrics', async (_request, reply) => {
      reply.type(registry.contentType);
      return metrics.get();
    });
    this.app.get('/healthz', async () => ({ status: 'ok' }));
    this.app.get('/readyz', async (_request, reply) => {
      const reason = checkReadiness();
      if (reason === undefined) return { status: 'ready' };
      reply.code(503);
      return { status: 'unready', reason };
    });
  }

  /** Starts listening on `address`, an IP address and a port. */
  async listen(address: string): Promise<void> {
    const [host, port] = address.split(':');
    await this.app.listen({ host: host ?? '127.0.0.1', port: Number(port) });
  }

  async close(): Promise<void> {
    await this.app.close();
  }
}
