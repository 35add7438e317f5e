import { createHash } from 'node:crypto';

import {
  Cascade,
  Model,
  SessionKeys,
  Upstream,
  UpstreamKind,
  VersionState,
  Workspace,
} from '@cactusstair/protocol';

import type {
  ClusterCascade,
  ClusterModel,
  ClusterOptions,
  ClusterVersion,
  ClusterWorkspace,
} from './clusterOptions.js';

/** An object to create in the object API. */
export interface ConfigEntry {
  kind: string;
  name: string;
  value: unknown;
}

/** An upstream with the address that the entry instances use. */
export interface ClusterUpstream {
  name: string;
  kind: 'engine' | 'service';
  url: string;
  zone: string;
  service: string;
  checksFencing: boolean;
  nonIdempotent: boolean;
}

const DEFAULT_PROMPT_MICROS = 100;
const DEFAULT_COMPLETION_MICROS = 400;
const DEFAULT_QUALITY_TARGET = 0.75;
const DEFAULT_TARGET_SHARE = 0.9;
const YEAR_MS = 365 * 24 * 3600 * 1000;
const CLOCK_MARGIN_MS = 60_000;

const versionStates: Record<NonNullable<ClusterVersion['state']>, VersionState> = {
  candidate: VersionState.CANDIDATE,
  settled: VersionState.SETTLED,
  withdrawn: VersionState.WITHDRAWN,
};

/** Derives a secret of 32 bytes from the seed, so that runs are reproducible. */
export function deriveSecret(seed: number, purpose: string): string {
  return createHash('sha256').update(`${purpose}/${seed}`).digest('base64url');
}

/** Returns the API key of a workspace. */
export function getApiKey(workspace: ClusterWorkspace): string {
  return workspace.apiKey ?? `key-${workspace.name}`;
}

/** Returns the names of all plain services. */
export function getServiceNames(options: ClusterOptions): string[] {
  const names = options.zones.flatMap((zone) => zone.services ?? []).map((entry) => entry.service);
  return [...new Set(names)];
}

function createWorkspaceEntry(workspace: ClusterWorkspace, options: ClusterOptions): ConfigEntry {
  const models = workspace.models ?? options.models.map((model) => model.name);
  const message = Workspace.fromPartial({
    name: workspace.name,
    apiKeyDigests: [createHash('sha256').update(getApiKey(workspace)).digest('hex')],
    allowedModels: models.map((entry) =>
      typeof entry === 'string' ? { model: entry, versions: [] } : entry,
    ),
    allowedServices: workspace.services ?? getServiceNames(options),
    tokensPerMinute: workspace.tokensPerMinute ?? 0,
    weight: workspace.weight ?? 1,
  });
  return { kind: 'workspace', name: workspace.name, value: Workspace.toJSON(message) };
}

function createModelEntry(model: ClusterModel): ConfigEntry {
  const message = Model.fromPartial({
    name: model.name,
    versions: model.versions.map((version) => ({
      version: version.version,
      state: versionStates[version.state ?? 'settled'],
      promptMicrosPerKilotoken: version.promptMicros ?? DEFAULT_PROMPT_MICROS,
      completionMicrosPerKilotoken: version.completionMicros ?? DEFAULT_COMPLETION_MICROS,
    })),
    currentVersion: model.currentVersion ?? model.versions[0]?.version ?? '',
  });
  return { kind: 'model', name: model.name, value: Model.toJSON(message) };
}

function createUpstreamEntry(upstream: ClusterUpstream): ConfigEntry {
  const kind = upstream.kind === 'engine' ? UpstreamKind.ENGINE : UpstreamKind.SERVICE;
  const message = Upstream.fromPartial({ ...upstream, kind });
  return { kind: 'upstream', name: upstream.name, value: Upstream.toJSON(message) };
}

function createCascadeEntry(cascade: ClusterCascade): ConfigEntry {
  const message = Cascade.fromPartial({
    name: cascade.name,
    workspace: cascade.workspace,
    rungs: cascade.rungs,
    qualityTarget: cascade.qualityTarget ?? DEFAULT_QUALITY_TARGET,
    targetShare: cascade.targetShare ?? DEFAULT_TARGET_SHARE,
  });
  const name = `${cascade.workspace}.${cascade.name}`;
  return { kind: 'cascade', name, value: Cascade.toJSON(message) };
}

function createSessionKeysEntry(seed: number): ConfigEntry {
  const startMs = Date.now() - CLOCK_MARGIN_MS;
  const message = SessionKeys.fromPartial({
    keys: [
      {
        keyId: 'k1',
        secret: deriveSecret(seed, 'session-key'),
        acceptFromMs: startMs,
        signFromMs: startMs,
        retiredAtMs: startMs + YEAR_MS,
      },
    ],
  });
  return { kind: 'sessionkeys', name: 'current', value: SessionKeys.toJSON(message) };
}

/** Creates the initial configuration of a cluster. */
export function createConfigEntries(
  options: ClusterOptions,
  upstreams: ClusterUpstream[],
): ConfigEntry[] {
  return [
    createSessionKeysEntry(options.seed ?? 1),
    ...options.models.map(createModelEntry),
    ...upstreams.map(createUpstreamEntry),
    ...options.workspaces.map((workspace) => createWorkspaceEntry(workspace, options)),
    ...(options.cascades ?? []).map(createCascadeEntry),
  ];
}
