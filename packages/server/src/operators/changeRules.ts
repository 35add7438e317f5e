import type { ConfigReplica } from '@cactusstair/coordination';
import type { Cascade, Failure, Model, Rollout, Upstream, Workspace } from '@cactusstair/protocol';
import { createFailure, UpstreamKind, VersionState } from '@cactusstair/protocol';

const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;
const VERSION_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const MAX_PERCENT = 100;

type Rule = readonly [holds: boolean, problem: string];

/** Returns a failure for the first rule that does not hold. */
function findViolation(rules: readonly Rule[]): Failure | undefined {
  const violated = rules.find(([holds]) => !holds);
  return violated && createFailure('invalid_change', violated[1]);
}

function isShare(value: number): boolean {
  return value >= 0 && value <= 1;
}

/** Checks a workspace before it is stored. */
export function checkWorkspace(workspace: Workspace): Failure | undefined {
  return findViolation([
    [NAME_PATTERN.test(workspace.name), 'name: must be 1 to 63 of a-z, 0-9, _ and -'],
    [
      workspace.apiKeyDigests.every((digest) => DIGEST_PATTERN.test(digest)),
      'api_key_digests: each must be 64 hexadecimal digits',
    ],
    [workspace.tokensPerMinute >= 0, 'tokens_per_minute: must not be negative'],
    [workspace.weight >= 0, 'weight: must not be negative'],
  ]);
}

/**
 * Checks a model before it is stored.
 *
 * @param stored the stored model, if any. Its withdrawn versions cannot get another state.
 */
export function checkModel(model: Model, stored: Model | undefined): Failure | undefined {
  const names = model.versions.map((version) => version.version);
  const reinstated = stored?.versions
    .filter((version) => version.state === VersionState.WITHDRAWN)
    .find(({ version }) => {
      const next = model.versions.find((each) => each.version === version);
      return next !== undefined && next.state !== VersionState.WITHDRAWN;
    });
  const current = model.versions.find((version) => version.version === model.currentVersion);
  return findViolation([
    [NAME_PATTERN.test(model.name), 'name: must be 1 to 63 of a-z, 0-9, _ and -'],
    [
      names.every((name) => VERSION_PATTERN.test(name)),
      'versions: each name must be 1 to 63 of A-Z, a-z, 0-9, ., _ and -',
    ],
    [new Set(names).size === names.length, 'versions: a name is listed twice'],
    [
      model.versions.every((version) => version.state !== VersionState.UNSPECIFIED),
      'versions: each needs a state',
    ],
    [
      model.versions.every(
        (version) =>
          version.promptMicrosPerKilotoken >= 0 && version.completionMicrosPerKilotoken >= 0,
      ),
      'versions: prices must not be negative',
    ],
    [
      reinstated === undefined,
      `versions: ${reinstated?.version ?? ''} is withdrawn and cannot get another state`,
    ],
    [
      current?.state === VersionState.SETTLED || current?.state === VersionState.WITHDRAWN,
      'current_version: must name a settled version',
    ],
  ]);
}

/** Checks an upstream before it is stored. */
export function checkUpstream(upstream: Upstream): Failure | undefined {
  const url = URL.canParse(upstream.url) ? new URL(upstream.url) : undefined;
  return findViolation([
    [NAME_PATTERN.test(upstream.name), 'name: must be 1 to 63 of a-z, 0-9, _ and -'],
    [
      upstream.kind === UpstreamKind.ENGINE || upstream.kind === UpstreamKind.SERVICE,
      'kind: must be engine or service',
    ],
    [
      url !== undefined && /^(\d{1,3}\.){3}\d{1,3}$/.test(url.hostname) && url.pathname === '/',
      'url: must be http or https with an IP address and a port',
    ],
    [upstream.zone !== '', 'zone: must not be empty'],
    [
      (upstream.kind === UpstreamKind.SERVICE) === (upstream.service !== ''),
      'service: must be set if kind is service, and only then',
    ],
    [upstream.slots >= 0, 'slots: must not be negative'],
  ]);
}

/** Checks a cascade before it is stored. */
export function checkCascade(cascade: Cascade, replica: ConfigReplica): Failure | undefined {
  const missing = cascade.rungs.find((rung) => replica.getModel(rung) === undefined);
  return findViolation([
    [NAME_PATTERN.test(cascade.name), 'name: must be 1 to 63 of a-z, 0-9, _ and -'],
    [replica.getWorkspace(cascade.workspace) !== undefined, 'workspace: does not exist'],
    [cascade.rungs.length > 0, 'rungs: at least one model is needed'],
    [new Set(cascade.rungs).size === cascade.rungs.length, 'rungs: a model is listed twice'],
    [missing === undefined, `rungs: model ${missing ?? ''} does not exist`],
    [isShare(cascade.qualityTarget), 'quality_target: must be in 0..1'],
    [isShare(cascade.targetShare), 'target_share: must be in 0..1'],
  ]);
}

/** Checks a rollout before it is stored. */
export function checkRollout(rollout: Rollout): Failure | undefined {
  const rising = rollout.steps.every(
    (step, index) => step > (rollout.steps[index - 1] ?? 0) && step <= MAX_PERCENT,
  );
  return findViolation([
    [NAME_PATTERN.test(rollout.name), 'name: must be 1 to 63 of a-z, 0-9, _ and -'],
    [rollout.steps.length > 0 && rising, 'steps: must be rising percentages up to 100'],
    [rollout.candidateVersion !== '', 'candidate_version: must not be empty'],
    [rollout.minRatingsPerStep >= 0, 'min_ratings_per_step: must not be negative'],
    [isShare(rollout.qualityMargin), 'quality_margin: must be in 0..1'],
  ]);
}
