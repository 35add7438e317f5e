/** One kind of requests; the values are unknown to the queue. */
export interface Kind {
  name: string;
  workMs: number;
  goalMs: number;
  deadlineMs: number;
  /** What the queue assumes of the value. */
  tokens: number;
  share: number;
}

/** The rule that is compared: the queue, or polls and a refusal after a fixed time. */
export type Rule = 'queue' | 'polls';

export interface Load {
  instances: number;
  upstreams: number;
  slots: number;
  kinds: readonly Kind[];
  workspaces: number;
  /** Arrivals relative to the capacity, by time. */
  getLoadFactor: (atMs: number) => number;
  /** Weight of a workspace among the arrivals. */
  getWorkspaceWeight: (workspace: number, atMs: number) => number;
  /** Time factor of an upstream; Infinity while it is gone. */
  getSlowness: (upstream: number, atMs: number) => number;
  /** Age of the loads that instances know of each other; Infinity when the exchange is cut. */
  reportAgeMs: number;
  /** Callers of this workspace send a refused request again at once, up to so many times. */
  immediateRetries: { workspace: number; count: number };
  durationMs: number;
  seed: number;
}

/** One request of a caller with what became of it. */
export interface Outcome {
  id: number;
  kind: Kind;
  workspace: number;
  zone: number;
  arrivedMs: number;
  /** Time from the arrival until the end of its run; undefined if it was not served. */
  servedMs?: number;
  startedAfterMs?: number;
  refusedAfterMs?: number;
  /** Whether it was refused, returned when it was told to, and was served then. */
  returned?: 'served' | 'refused';
  wasRefusedWhileFree?: boolean;
}
