import { randomUUID } from 'node:crypto';

import type { Session, SessionTokens } from '@cactusstair/coordination';
import type { Failure, Workspace } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { Target, VersionResolver } from '../workspaces/versionResolver.js';

/** A session and its signed token. */
export interface BoundSession {
  session: Session;
  token: string;
}

/** Options of `SessionBinder`. */
export interface SessionBinderOptions {
  sessions: SessionTokens;
  resolver: VersionResolver;
  clock: Clock;
  lifetimeMs: number;
}

/** Binds requests to sessions: verifies the caller's token or creates a session. */
export class SessionBinder {
  constructor(private readonly options: SessionBinderOptions) {}

  /**
   * Returns a session that pins a version of every allowed model of the target.
   *
   * If the session has no pin for a model yet, one is added and a new token is issued.
   */
  async bind(
    workspace: Workspace,
    target: Target,
    token: string | undefined,
  ): Promise<Result<BoundSession, Failure>> {
    if (token === undefined) return this.createSession(workspace, target);
    const verified = await this.options.sessions.verify(token, workspace.name);
    if (verified.isErr()) return err(verified.error);
    const session = verified.value;
    const mismatch = findVersionMismatch(session, target);
    if (mismatch) return err(mismatch);
    const before = Object.keys(session.pins).length;
    const pinned = this.pinModels(workspace, target, session);
    if (pinned.isErr()) return err(pinned.error);
    if (Object.keys(session.pins).length === before) return ok({ session, token });
    return this.mint(session);
  }

  private createSession(
    workspace: Workspace,
    target: Target,
  ): Promise<Result<BoundSession, Failure>> {
    const { clock, lifetimeMs } = this.options;
    const session: Session = {
      id: randomUUID(),
      workspace: workspace.name,
      pins: {},
      expiresAtMs: clock.wallMs() + lifetimeMs,
    };
    const pinned = this.pinModels(workspace, target, session);
    return pinned.isErr() ? Promise.resolve(err(pinned.error)) : this.mint(session);
  }

  /** Pins the models that have no pin yet. At least one model of the target must have a pin. */
  private pinModels(workspace: Workspace, target: Target, session: Session): Result<void, Failure> {
    const { models, explicitVersion } = target;
    let refusal: Failure | undefined;
    for (const model of models) {
      if (session.pins[model.name] !== undefined) continue;
      const chosen = this.options.resolver.chooseVersion(
        workspace,
        model,
        session.id,
        explicitVersion,
      );
      if (chosen.isOk()) session.pins[model.name] = chosen.value.version.version;
      else refusal = chosen.error;
    }
    const covered = models.some((model) => session.pins[model.name] !== undefined);
    return covered || !refusal ? ok(undefined) : err(refusal);
  }

  private async mint(session: Session): Promise<Result<BoundSession, Failure>> {
    const minted = await this.options.sessions.mint(session);
    return minted.map((token) => ({ session, token }));
  }
}

function findVersionMismatch(session: Session, target: Target): Failure | undefined {
  const [model] = target.models;
  const pinned = model && session.pins[model.name];
  if (target.explicitVersion === undefined || pinned === undefined) return undefined;
  if (target.explicitVersion === pinned) return undefined;
  const message = `the session is pinned to version ${pinned} of ${model?.name ?? ''}`;
  return createFailure('session_invalid', message);
}
