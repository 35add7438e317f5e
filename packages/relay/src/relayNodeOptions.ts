import type { Clock } from '@cactusstair/utils';

import type { EventLog } from './observe/eventLog.js';
import type { InstanceLimits, RelayBounds, SocketAddress } from './relayOptions.js';
import type { RelayStore } from './relayStore.js';
import type { Dialect } from './requests/relayRequest.js';

/** Options of `RelayNode`. */
export interface RelayNodeOptions {
  name: string;
  zone: string;
  /** Size of the machine relative to others, for example processor share times link rate. */
  capacity: number;
  callers: SocketAddress;
  /** Address for readiness checks, which are answered with 200 while ready, else 503. */
  readiness: SocketAddress;
  readinessPath: string;
  /** Address for other instances: UDP for messages, TCP for reads of store state. */
  peers: SocketAddress;
  /** Hosts of other instances, used until the store has been read. */
  seedHosts: readonly string[];
  bounds: RelayBounds;
  /** Default: those of a large machine. */
  limits?: InstanceLimits;
  store: RelayStore;
  dialect: Dialect;
  log: EventLog;
  clock?: Clock;
}
