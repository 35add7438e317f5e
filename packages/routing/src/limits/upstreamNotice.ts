/** What an upstream says about itself in the head of an answer. */
export interface UpstreamNotice {
  /** Whether the upstream is about to shut down. */
  isLeaving: boolean;
  /** Requests a second that it takes from all instances together; undefined without a limit. */
  requestsPerSecond: number | undefined;
  /** Time for which it wants no requests from this instance, in milliseconds; undefined for none. */
  pauseMs: number | undefined;
}
