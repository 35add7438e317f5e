/** Determines whether requests are retried; a `stream` only if its route is resumable. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** One service behind a route. */
export interface RouteTarget {
  service: string;
  /** Share of the route's requests relative to the other targets; at least 0. */
  weight: number;
}

/** A route: the requests to one host below one path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Time limit for the final answer, in milliseconds. */
  timeoutMs: number;
  /** Time up to which an answer has its full value, in milliseconds. */
  latencyGoalMs: number;
  /** Priority of the requests; 0 is served first. */
  priority: number;
  /** Models from the smallest to the largest; empty for a plain service. */
  modelSizes: readonly string[];
  targets: readonly RouteTarget[];
  /** Largest number of upstreams that may run one request. */
  maxAttempts: number;
  /** Whether requests are accepted without an API key. */
  isPublic: boolean;
  /** Whether a broken stream may continue at another upstream after its last event. */
  isResumable: boolean;
  /** Longest pause between two events of a healthy stream, in milliseconds. */
  maxEventGapMs: number;
}

/** Properties of the model engines of a service. */
export interface EngineProfile {
  /** Number of requests that one engine runs concurrently. */
  slots: number;
  /** Memory of one engine, in tokens. */
  memoryTokens: number;
  /** Price per 1,000 generated tokens, by model name; a prompt token costs a quarter of that. */
  priceByModel: Readonly<Record<string, number>>;
  /** Generated tokens in one event of a stream; absent when the configuration does not say. */
  eventTokens?: number;
}

/** A service of the configuration. */
export interface Service {
  name: string;
  /** Connections that one upstream accepts from all instances together. */
  maxConnections: number;
  /** Absent for plain services. */
  engine?: EngineProfile;
  /** Time for which an upstream is cold after a start, in milliseconds. */
  warmupMs?: number;
  /** Requests a second that an upstream takes while it is cold. Absent: it is never cold. */
  warmupRequestsPerSecond?: number;
}

/** A workspace with the API keys of its callers. */
export interface Workspace {
  name: string;
  apiKeys: readonly string[];
  /** Overrides the priority of the route. */
  priority?: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A complete configuration; its version increases with every change. */
export interface RelayConfig {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  limits: CallerLimits;
  /** Undefined when no API keys are required. */
  workspaces?: readonly Workspace[];
}
