/** An IPv4 address and port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** Record by which entry instances find each other in the store. */
export interface PeerRecord extends SocketAddress {
  name: string;
  zone: string;
  /** Size of the machine relative to others; the largest sum up for their zones. */
  capacity: number;
}

/** Bounds that the deployment sets; times in milliseconds. */
export interface RelayBounds {
  /** Time between the signal to stop and the forced end of the process. */
  stopGraceMs: number;
  /** Time within which a stored configuration must be in force. */
  configApplyMs: number;
  /** Time within which a leaving upstream must get no new requests. */
  drainMs: number;
  /** Whether a request with a revoked key must not run after `revokeMs`, whatever fails. */
  isRevocationStrict: boolean;
  revokeMs: number;
  /** Repeats that a service may get for each request in one window. */
  retryRatio: number;
  retryWindowMs: number;
  /** Repeats beyond the ratio in one window, over all instances. */
  retrySlack: number;
  /** Share of a service's requests that a new version may get before it has proved itself. */
  canaryShare: number;
  /** Time for which a session lasts after its last request. */
  sessionTtlMs: number;
}
