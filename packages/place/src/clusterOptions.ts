import type { EngineOptions, RaterOptions, ServiceOptions } from '@cactusstair/standins';
import type { PlatformOptions, WeightStoreOptions } from '@cactusstair/standins';

/** A version of a model of the cluster. */
export interface ClusterVersion {
  version: string;
  /** Default `settled`. */
  state?: 'candidate' | 'settled' | 'withdrawn';
  /** Mean quality in 0..1. Default 0.8. */
  quality?: number;
  /** Price in micros per 1,000 prompt tokens. Default 100. */
  promptMicros?: number;
  /** Price in micros per 1,000 generated tokens. Default 400. */
  completionMicros?: number;
}

export interface ClusterModel {
  name: string;
  versions: ClusterVersion[];
  /** Default: the first version. */
  currentVersion?: string;
}

export interface ClusterWorkspace {
  name: string;
  /** Key that callers send. Default `key-{name}`. */
  apiKey?: string;
  /** Allowed models, by name or with their versions. Default: every model and version. */
  models?: (string | { model: string; versions: string[] })[];
  /** Allowed services. Default: every service. */
  services?: string[];
  /** Default 0: unlimited. */
  tokensPerMinute?: number;
  /** Default 1. */
  weight?: number;
}

export interface ClusterCascade {
  workspace: string;
  name: string;
  /** Models in the order of escalation, the cheapest first. */
  rungs: string[];
  /** Default 0.75. */
  qualityTarget?: number;
  /** Default 0.9. */
  targetShare?: number;
}

/** Engines of one kind in one zone, named `{zone}-engine-{number}`. */
export interface ClusterEngines {
  /** Loaded versions as `model@version`. */
  versions: string[];
  /** Default 1. */
  count?: number;
  /** Further options of the engine stand-in. */
  options?: Omit<EngineOptions, 'listen' | 'name' | 'zone' | 'versions' | 'weightStore'>;
}

/** Servers of a plain service in one zone, named `{zone}-{service}-{number}`; one per service. */
export interface ClusterServices {
  service: string;
  /** Default 1. */
  count?: number;
  /** Whether calls other than GET, HEAD and OPTIONS must not be repeated. Default true. */
  nonIdempotent?: boolean;
  /** Further options of the service stand-in. */
  options?: Omit<ServiceOptions, 'listen' | 'name' | 'zone'>;
}

export interface ClusterZone {
  name: string;
  /** Default: the region of the cluster. */
  region?: string;
  /** Entry instances, named `{zone}-{number}`. Default 1. */
  entries?: number;
  engines?: ClusterEngines[];
  services?: ClusterServices[];
}

/** A fault-injecting proxy on one link of the cluster. */
export interface ClusterProxy {
  /** Name of the proxy process. */
  name: string;
  /**
   * Which processes use the proxy: a process name, a zone name or `*`. Upstreams and entry
   * instances publish one address, so proxies of them apply to all processes (`*`).
   */
  from: string;
  /** Process behind the proxy: `platform`, `weights`, `rater`, an upstream or an entry instance. */
  to: string;
  /** Port of an entry instance to which the proxy forwards. Default `callers`. */
  port?: 'callers' | 'peers';
}

/** Options of `LocalCluster`. */
export interface ClusterOptions {
  zones: ClusterZone[];
  models: ClusterModel[];
  workspaces: ClusterWorkspace[];
  cascades?: ClusterCascade[];
  proxies?: ClusterProxy[];
  /** Region of zones without one. Default `local`. */
  region?: string;
  /** Seed from which the seed of each process is derived with its name. Default 1. */
  seed?: number;
  /** Directory for the logs. Default: a new directory below `runs/`. */
  runDir?: string;
  /** Further settings of each entry instance, merged into its file, for example `permits`. */
  entrySettings?: Record<string, unknown>;
  /** Main file of the entry instance. Default `packages/cli/dist/main.js`. */
  entryMainFile?: string;
  /** Whether to wait until `/readyz` of every entry instance answers 200. Default true. */
  awaitReadiness?: boolean;
  platform?: Omit<PlatformOptions, 'listen'>;
  weights?: Omit<WeightStoreOptions, 'listen'>;
  rater?: Omit<RaterOptions, 'listen' | 'quality'>;
  /** Timeout for one process to become ready, in milliseconds. Default 30,000. */
  readyTimeoutMs?: number;
  /** Timeout for one process to stop after SIGTERM, in milliseconds. Default 30,000. */
  stopTimeoutMs?: number;
}
