import type { ConnectionGuardOptions } from '@cactusstair/utils';
import { ignoreBody, SharedCall, systemClock } from '@cactusstair/utils';

import { CallerServer } from '../callerServer.js';

/** Options of `createStatusServer`. */
export interface StatusServerOptions {
  readinessPath: string;
  isReady: () => boolean;
  formatMetrics: () => Promise<string>;
  connections: ConnectionGuardOptions;
}

const METRICS_PATH = '/metrics';
/** Formatting takes some milliseconds; a scrape needs no newer text. */
const MAX_METRICS_AGE_MS = 20;

/** Serves readiness, 200 or 503, and the metrics as text. */
export function createStatusServer(options: StatusServerOptions): CallerServer {
  const metrics = new SharedCall({
    clock: systemClock,
    maxAgeMs: MAX_METRICS_AGE_MS,
    call: options.formatMetrics,
  });
  return new CallerServer(options.connections, (incoming, outgoing) => {
    ignoreBody(incoming, outgoing);
    if (incoming.url === METRICS_PATH) {
      metrics.get().then(
        (text) => {
          outgoing.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          outgoing.end(text);
        },
        (error: unknown) => {
          outgoing.writeHead(500, { 'content-type': 'text/plain' });
          outgoing.end(String(error));
        },
      );
      return;
    }
    const isKnown = incoming.url === options.readinessPath;
    outgoing.writeHead(isKnown ? (options.isReady() ? 200 : 503) : 404);
    outgoing.end();
  });
}
