import type { EngineProfile } from '../config/relayConfig.js';
import type { Exchange } from './exchange.js';
import type { RelayRequest } from './relayRequest.js';

/** A request with the service, engine and traits resolved for it. */
export interface RelayJob {
  exchange: Exchange;
  request: RelayRequest;
  service: string;
  engine: EngineProfile | undefined;
  /** What the request has in common with others that may crash upstreams. */
  traits: readonly string[];
  /** Whether the request runs once although others with its traits crashed upstreams. */
  isTrial: boolean;
}

/** Requests of one kind are taken to need about the same time. */
export function formatKind({ exchange }: RelayJob, sizeIndex: number | undefined): string {
  return `${exchange.route?.name ?? ''}/${sizeIndex ?? ''}`;
}
