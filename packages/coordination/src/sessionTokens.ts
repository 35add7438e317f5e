import type { Failure, SessionKey, SessionKeys } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import { errors, jwtVerify, SignJWT } from 'jose';
import type { JWTPayload } from 'jose';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** A conversation that is pinned to the model versions it started with. */
export interface Session {
  id: string;
  workspace: string;
  /** Version by model. */
  pins: Record<string, string>;
  /** Wall-clock time in milliseconds since the epoch. */
  expiresAtMs: number;
}

/** Options of `SessionTokens`. */
export interface SessionTokensOptions {
  /** Returns the current keys, usually `() => replica.getSessionKeys()`. */
  getKeys: () => SessionKeys;
  clock?: Clock;
}

const ALGORITHM = 'HS256';
// A distinct type prevents other tokens signed with the same key from passing as sessions.
const TOKEN_TYPE = 'cactusstair-session';
// RFC 7518 requires a key at least as long as the hash.
const MIN_SECRET_BYTES = 32;

/** Signs and verifies session tokens with the rotating keys of `sessionkeys/current`. */
export class SessionTokens {
  private readonly clock: Clock;

  constructor(private readonly options: SessionTokensOptions) {
    this.clock = options.clock ?? systemClock;
  }

  /**
   * Signs a token with the newest key that may sign. The token expires with its session, or with
   * its key if that is retired earlier.
   *
   * @returns `not_ready` if no key may sign.
   */
  async mint(session: Session): Promise<Result<string, Failure>> {
    const nowMs = this.clock.wallMs();
    const key = this.options
      .getKeys()
      .keys.filter((candidate) => isAccepted(candidate, nowMs) && candidate.signFromMs <= nowMs)
      .sort((a, b) => b.signFromMs - a.signFromMs || (a.keyId < b.keyId ? -1 : 1))[0];
    if (!key) return err(createFailure('not_ready', 'no session key may sign at this time'));
    const retiredAtMs = key.retiredAtMs > 0 ? key.retiredAtMs : Infinity;
    const token = await new SignJWT({ workspace: session.workspace, pins: session.pins })
      .setProtectedHeader({ alg: ALGORITHM, kid: key.keyId, typ: TOKEN_TYPE })
      .setJti(session.id)
      .setIssuedAt(nowMs / 1000)
      .setExpirationTime(Math.min(session.expiresAtMs, retiredAtMs) / 1000)
      .sign(decodeSecret(key));
    return ok(token);
  }

  /**
   * Verifies a token for the workspace to which the caller's API key belongs.
   *
   * @returns `session_invalid` if the token is malformed, altered, expired, signed with a key that
   * is not accepted, or belongs to another workspace.
   */
  async verify(token: string, workspace: string): Promise<Result<Session, Failure>> {
    const nowMs = this.clock.wallMs();
    try {
      const { payload } = await jwtVerify(token, (header) => this.findSecret(header.kid, nowMs), {
        algorithms: [ALGORITHM],
        typ: TOKEN_TYPE,
        requiredClaims: ['exp', 'iat', 'jti'],
        currentDate: new Date(nowMs),
      });
      const session = parseSession(payload);
      // jose compares in whole seconds.
      if (!session || session.expiresAtMs <= nowMs) return reject('the session has expired');
      if (session.workspace !== workspace) {
        return reject('the session does not belong to this workspace');
      }
      return ok(session);
    } catch (error) {
      if (error instanceof errors.JWTExpired) return reject('the session has expired');
      if (error instanceof errors.JOSEError) return reject('the session token is not valid');
      throw error;
    }
  }

  private findSecret(keyId: string | undefined, nowMs: number): Uint8Array {
    const key = this.options
      .getKeys()
      .keys.find((candidate) => candidate.keyId === keyId && isAccepted(candidate, nowMs));
    if (!key) throw new errors.JWKSNoMatchingKey();
    return decodeSecret(key);
  }
}

function reject(message: string): Result<Session, Failure> {
  return err(createFailure('session_invalid', message));
}

function decodeSecret(key: SessionKey): Uint8Array {
  return Buffer.from(key.secret, 'base64url');
}

function isAccepted(key: SessionKey, nowMs: number): boolean {
  if (key.keyId === '' || decodeSecret(key).length < MIN_SECRET_BYTES) return false;
  return key.acceptFromMs <= nowMs && (key.retiredAtMs === 0 || nowMs < key.retiredAtMs);
}

function parseSession(payload: JWTPayload): Session | undefined {
  const { workspace, pins, jti, exp } = payload;
  if (typeof workspace !== 'string' || jti === undefined || exp === undefined) return undefined;
  if (typeof pins !== 'object' || pins === null) return undefined;
  const entries = Object.entries(pins);
  if (entries.some(([, version]) => typeof version !== 'string')) return undefined;
  return {
    id: jti,
    workspace,
    pins: Object.fromEntries(entries),
    expiresAtMs: Math.round(exp * 1000),
  };
}
