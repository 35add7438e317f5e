/** An IPv4 address and port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Record by which instances find each other in the store. */
export interface PeerRecord extends SocketAddress {
  name: string;
  zone: string;
  /** Size of the machine relative to others; the largest of a zone add up its load. */
  capacity: number;
}

/** Size of the process; a limit that is not set has a default. */
export interface InstanceLimits {
  memoryBytes?: number;
  /** Descriptors of the process, 200 of which are reserved for files. */
  maxDescriptors?: number;
}

/** Limits set by the deployment; times are in milliseconds. */
export interface RelayBounds {
  /** Grace period between the stop signal and the forced end of the process. */
  stopGraceMs: number;
  /** Time within which a stored configuration must be in force. */
  configApplyMs: number;
  /** Time after which a draining upstream must get no new requests. */
  drainMs: number;
  /** Whether requests with a revoked key must not run after `revokeMs`, even in an outage. */
  isRevocationStrict: boolean;
  revokeMs: number;
  /** Retries that a service may get per request in one window. */
  retryRatio: number;
  retryWindowMs: number;
  /** Retries beyond the ratio in one window, over all instances. */
  retrySlack: number;
  /** Largest share of a service's requests for a new version that is not yet verified. */
  canaryShare: number;
  /** Time after which a session without requests expires. */
  sessionTtlMs: number;
  /**
   * Time within which the evacuation of a zone must be in force. Absent where zones are not
   * evacuated; the store has no such orders then.
   */
  evacuateMs?: number;
  /**
   * A cold upstream receives no more in any second than its service's rate times `coldOverage` plus
   * `coldSlack`. Absent where the deployment states no such bound; the rate alone counts then.
   */
  coldOverage?: number;
  coldSlack?: number;
}
