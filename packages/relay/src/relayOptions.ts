/** An IPv4 address and port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Address record by which entry instances find each other in the store. */
export type PeerRecord = SocketAddress;

/** Bounds that the deployment sets; times in milliseconds. */
export interface RelayBounds {
  /** Time after a disturbance from which an instance must keep all bounds again. */
  contactMs: number;
  /** Time after which a leaving upstream must get no new request. */
  drainMs: number;
  /** Time between the signal to stop and the forced end of the process. */
  stopGraceMs: number;
  /** Time within which a stored configuration must be in force. */
  configApplyMs: number;
  /** Whether a request with a revoked key must not run after `revokeMs`, whatever fails. */
  isRevocationStrict: boolean;
  revokeMs: number;
  /** Repeats that a service may get for each request in one window. */
  retryRatio: number;
  retryWindowMs: number;
  /** Repeats beyond the ratio in one window, over all instances. */
  retrySlack: number;
  /** Largest share of a service's requests that a bad version may get. */
  canaryShare: number;
  canarySlack: number;
  /** Time for which a session lasts after its last request. */
  sessionTtlMs: number;
}
