/** What may be repeated: a `stream` only where its route is resumable. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** One service behind a route. */
export interface RouteTarget {
  service: string;
  /** Share of the route's requests relative to the other targets; at least 0. */
  weight: number;
}

/** One route of the configuration: requests of a host below a path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case, without a port. */
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds. */
  latencyGoalMs: number;
  /** Rank of the requests; 0 is served first. */
  priority: number;
  /** Models from the smallest to the largest; empty for a plain service. */
  modelSizes: readonly string[];
  targets: readonly RouteTarget[];
  /** Most upstreams that may run one request. */
  maxAttempts: number;
  /** Whether requests need no key. */
  isPublic: boolean;
  /** Whether a stream may go on at another upstream after its last event. */
  isResumable: boolean;
  /** Longest pause between two events of a stream that is on time, in milliseconds. */
  maxEventGapMs: number;
}

/** What the configuration says of the model engines of a service. */
export interface EngineProfile {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Memory of one engine, in tokens. */
  memoryTokens: number;
  /** Price per 1,000 generated tokens, by model name; tokens read count as a quarter. */
  priceByModel: Readonly<Record<string, number>>;
}

/** A service of the configuration. */
export interface Service {
  name: string;
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: number;
  /** Absent for plain services. */
  engine?: EngineProfile;
}

/** A workspace with the keys of its callers. */
export interface Workspace {
  name: string;
  apiKeys: readonly string[];
  /** Takes precedence over the priority of a route. */
  priority?: number;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A whole configuration; versions only rise. */
export interface RelayConfig {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  limits: CallerLimits;
  /** Undefined when the configuration asks for no keys. */
  workspaces?: readonly Workspace[];
}
