import type { ConfigReplica, Session, VersionPermits } from '@cactusstair/coordination';
import { checkVersionPermit } from '@cactusstair/coordination';
import type { Cascade, Failure, Model, ModelVersion, Workspace } from '@cactusstair/protocol';
import { createFailure, RolloutPhase, VersionState } from '@cactusstair/protocol';
import { assignArm } from '@cactusstair/routing';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** The cascade or model named by the `model` field of a request. */
export interface Target {
  /** Set when the field names a cascade. */
  cascade: Cascade | undefined;
  /** Models from the cheapest to the strongest; exactly one unless the field names a cascade. */
  models: Model[];
  /** Set when the field has the form `model@version`. */
  explicitVersion: string | undefined;
}

/** A model and the version of it that serves a request. */
export interface ResolvedVersion {
  model: Model;
  version: ModelVersion;
}

const permitFailures = {
  withdrawn: (name: string) =>
    createFailure('model_not_allowed', `version ${name} has been withdrawn`),
  lapsed: (name: string) =>
    createFailure(
      'permit_lapsed',
      `the zone cannot confirm that version ${name} is still allowed`,
      1000,
    ),
} as const;

/** Resolves model versions for requests from this instance's replica of the configuration. */
export class VersionResolver {
  constructor(
    private readonly replica: ConfigReplica,
    private readonly permits: VersionPermits,
  ) {}

  /** Finds the cascade or model by name and checks that the workspace allows its models. */
  resolveTarget(workspace: Workspace, name: string): Result<Target, Failure> {
    const cascade = this.replica.getCascade(workspace.name, name);
    const [modelName, explicitVersion] = cascade ? [name, undefined] : splitModelName(name);
    const names = cascade ? cascade.rungs : [modelName];
    const models: Model[] = [];
    for (const each of names) {
      const model = this.replica.getModel(each);
      if (!model || !workspace.allowedModels.some((allowed) => allowed.model === each)) {
        return err(createFailure('model_not_allowed', `the workspace may not use model ${each}`));
      }
      models.push(model);
    }
    return ok({ cascade, models, explicitVersion });
  }

  /**
   * Chooses a version for a new session: the session's arm of an active rollout or the current
   * version, and otherwise the last settled version that is allowed.
   */
  chooseVersion(
    workspace: Workspace,
    model: Model,
    sessionId: string,
    explicitVersion?: string,
  ): Result<ResolvedVersion, Failure> {
    if (explicitVersion !== undefined) {
      return this.checkVersion(workspace, model, explicitVersion);
    }
    const candidate = this.findCandidate(model, sessionId);
    if (candidate !== undefined) {
      const checked = this.checkVersion(workspace, model, candidate);
      if (checked.isOk()) return checked;
    }
    const current = this.checkVersion(workspace, model, model.currentVersion);
    if (current.isOk()) return current;
    return this.findAllowedVersion(workspace, model) ?? current;
  }

  /** Returns the version that the session has pinned, or a failure if it may no longer be used. */
  resolvePinnedVersion(
    workspace: Workspace,
    model: Model,
    session: Session,
  ): Result<ResolvedVersion, Failure> {
    const pinned = session.pins[model.name];
    if (pinned === undefined) {
      return err(createFailure('session_invalid', `the session does not cover ${model.name}`));
    }
    const version = model.versions.find((each) => each.version === pinned);
    if (!version || version.state === VersionState.WITHDRAWN) {
      return err(
        createFailure(
          'session_ended',
          `session ended, not run: version ${pinned} of ${model.name} has been withdrawn`,
        ),
      );
    }
    return this.checkVersion(workspace, model, pinned);
  }

  /** Returns whether a version may currently receive new requests of the workspace. */
  isStillAllowed(workspaceName: string, resolved: ResolvedVersion): boolean {
    const workspace = this.replica.getWorkspace(workspaceName);
    const model = this.replica.getModel(resolved.model.name);
    if (!workspace || !model) return false;
    return this.checkVersion(workspace, model, resolved.version.version).isOk();
  }

  private checkVersion(
    workspace: Workspace,
    model: Model,
    versionName: string,
  ): Result<ResolvedVersion, Failure> {
    const fullName = `${model.name}@${versionName}`;
    const version = model.versions.find((each) => each.version === versionName);
    if (!version || !isVersionAllowed(workspace, model.name, versionName)) {
      return err(createFailure('model_not_allowed', `the workspace may not use ${fullName}`));
    }
    const permit = checkVersionPermit(version, this.replica.getConfirmedAgeMs(), this.permits);
    if (permit !== 'permitted') return err(permitFailures[permit](fullName));
    return ok({ model, version });
  }

  private findCandidate(model: Model, sessionId: string): string | undefined {
    const rollout = this.replica
      .getRollouts()
      .find(
        (each) =>
          each.model === model.name &&
          (each.phase === RolloutPhase.RUNNING || each.phase === RolloutPhase.PAUSED),
      );
    if (!rollout || assignArm(rollout, sessionId) === 'baseline') return undefined;
    return rollout.candidateVersion;
  }

  private findAllowedVersion(
    workspace: Workspace,
    model: Model,
  ): Result<ResolvedVersion, Failure> | undefined {
    return model.versions
      .filter((version) => version.state === VersionState.SETTLED)
      .map((version) => this.checkVersion(workspace, model, version.version))
      .findLast((checked) => checked.isOk());
  }
}

function splitModelName(name: string): [string, string | undefined] {
  const at = name.indexOf('@');
  return at < 0 ? [name, undefined] : [name.slice(0, at), name.slice(at + 1)];
}

function isVersionAllowed(workspace: Workspace, model: string, version: string): boolean {
  return workspace.allowedModels.some(
    (allowed) =>
      allowed.model === model &&
      (allowed.versions.length === 0 || allowed.versions.includes(version)),
  );
}
