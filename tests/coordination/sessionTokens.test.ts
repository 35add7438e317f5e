import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { SessionTokens } from '@cactusstair/coordination';
import type { Session } from '@cactusstair/coordination';
import type { SessionKey } from '@cactusstair/protocol';
import { ManualClock } from '@cactusstair/utils';
import { SignJWT, UnsecuredJWT } from 'jose';

const startMs = 1_750_000_000_000;
const hourMs = 3_600_000;

function createKey(keyId: string, fill: number, times: Partial<SessionKey> = {}): SessionKey {
  const secret = Buffer.alloc(32, fill).toString('base64url');
  return { keyId, secret, acceptFromMs: 0, signFromMs: 0, retiredAtMs: 0, ...times };
}

function createTokens(...keys: SessionKey[]) {
  const clock = new ManualClock(startMs);
  const tokens = new SessionTokens({ clock, getKeys: () => ({ keys }) });
  return { clock, tokens, keys };
}

const session: Session = {
  id: 's1',
  workspace: 'riga',
  pins: { small: 'v1', large: 'v7' },
  expiresAtMs: startMs + hourMs,
};

async function mint(tokens: SessionTokens): Promise<string> {
  return (await tokens.mint(session))._unsafeUnwrap();
}

async function assertInvalid(tokens: SessionTokens, token: string, workspace = 'riga') {
  const failure = (await tokens.verify(token, workspace))._unsafeUnwrapErr();
  assert.equal(failure.name, 'session_invalid');
}

describe('SessionTokens', () => {
  it('returns the session that was minted', async () => {
    const { tokens } = createTokens(createKey('k1', 1));
    const verified = await tokens.verify(await mint(tokens), 'riga');
    assert.deepEqual(verified._unsafeUnwrap(), session);
  });

  // Its pins would apply to the requests of this workspace.
  it('refuses a token of another workspace', async () => {
    const { tokens } = createTokens(createKey('k1', 1));
    await assertInvalid(tokens, await mint(tokens), 'almaty');
  });

  it('refuses a token after its expiry, to the millisecond', async () => {
    const { clock, tokens } = createTokens(createKey('k1', 1));
    const token = await mint(tokens);
    await clock.advance(hourMs - 1);
    assert.ok((await tokens.verify(token, 'riga')).isOk());
    await clock.advance(1);
    await assertInvalid(tokens, token);
  });

  describe('forged tokens', () => {
    it('refuses a token with any part altered', async () => {
      const { tokens } = createTokens(createKey('k1', 1));
      const parts = (await mint(tokens)).split('.');
      for (let index = 0; index < parts.length; index += 1) {
        const part = parts[index] ?? '';
        const flipped = (part.startsWith('A') ? 'B' : 'A') + part.slice(1);
        await assertInvalid(tokens, parts.with(index, flipped).join('.'));
      }
      await assertInvalid(tokens, parts.slice(0, 2).join('.'));
      await assertInvalid(tokens, '');
      await assertInvalid(tokens, '..');
    });

    it('refuses claims of another workspace under the old signature', async () => {
      const { tokens } = createTokens(createKey('k1', 1));
      const [header, payload, signature] = (await mint(tokens)).split('.');
      const claims = JSON.parse(Buffer.from(payload ?? '', 'base64url').toString()) as object;
      const forged = Buffer.from(JSON.stringify({ ...claims, workspace: 'almaty' }));
      const token = [header, forged.toString('base64url'), signature].join('.');
      await assertInvalid(tokens, token, 'almaty');
    });

    it('refuses a token without a signature or with another algorithm', async () => {
      const { tokens } = createTokens(createKey('k1', 1));
      const claims = { workspace: 'riga', pins: {}, jti: 's1', iat: 1, exp: startMs };
      await assertInvalid(tokens, new UnsecuredJWT(claims).encode());
      const secret = Buffer.alloc(64, 1);
      const header = { alg: 'HS512', kid: 'k1', typ: 'cactusstair-session' };
      await assertInvalid(
        tokens,
        await new SignJWT(claims).setProtectedHeader(header).sign(secret),
      );
    });

    it('refuses a token of another type or without the claims, signed with the right key', async () => {
      const { tokens } = createTokens(createKey('k1', 1));
      const secret = Buffer.alloc(32, 1);
      const claims = { workspace: 'riga', pins: { a: 'v1' }, jti: 's1', iat: 1, exp: startMs };
      const sign = (payload: Record<string, unknown>, typ: string) =>
        new SignJWT(payload).setProtectedHeader({ alg: 'HS256', kid: 'k1', typ }).sign(secret);
      const typ = 'cactusstair-session';
      assert.ok((await tokens.verify(await sign(claims, typ), 'riga')).isOk());
      await assertInvalid(tokens, await sign(claims, 'JWT'));
      await assertInvalid(tokens, await sign({ ...claims, exp: undefined }, typ));
      await assertInvalid(tokens, await sign({ ...claims, pins: { a: 1 } }, typ));
      await assertInvalid(tokens, await sign({ ...claims, pins: undefined }, typ));
    });

    it('refuses a token signed with an unknown key, also under a known key id', async () => {
      const { tokens } = createTokens(createKey('k1', 1));
      await assertInvalid(tokens, await mint(createTokens(createKey('k9', 1)).tokens));
      await assertInvalid(tokens, await mint(createTokens(createKey('k1', 9)).tokens));
    });
  });

  describe('key rotation', () => {
    it('accepts a new key before any instance signs with it', async () => {
      const next = createKey('k2', 2, { signFromMs: startMs + 60_000 });
      const { clock, tokens } = createTokens(createKey('k1', 1), next);
      const ahead = createTokens(createKey('k2', 2));
      assert.ok((await tokens.verify(await mint(ahead.tokens), 'riga')).isOk());
      const readKeyId = (token: string) =>
        (
          JSON.parse(Buffer.from(token.split('.')[0] ?? '', 'base64url').toString()) as {
            kid: string;
          }
        ).kid;
      assert.equal(readKeyId(await mint(tokens)), 'k1');
      await clock.advance(60_000);
      assert.equal(readKeyId(await mint(tokens)), 'k2');
    });

    it('accepts tokens of the old key until it is retired, and no longer', async () => {
      const { clock, tokens, keys } = createTokens(createKey('k1', 1));
      const token = await mint(tokens);
      keys.splice(0, 1, createKey('k1', 1, { retiredAtMs: startMs + 1000 }), createKey('k2', 2));
      assert.ok((await tokens.verify(token, 'riga')).isOk());
      await clock.advance(1000);
      await assertInvalid(tokens, token);
    });

    it('ends a session no later than its key is retired', async () => {
      const { tokens } = createTokens(createKey('k1', 1, { retiredAtMs: startMs + 1000 }));
      const verified = (await tokens.verify(await mint(tokens), 'riga'))._unsafeUnwrap();
      assert.equal(verified.expiresAtMs, startMs + 1000);
    });

    it('signs nothing without a usable key: none, not yet valid, retired or too short', async () => {
      const short = { ...createKey('k1', 1), secret: Buffer.alloc(16).toString('base64url') };
      for (const keys of [
        [],
        [createKey('k1', 1, { acceptFromMs: startMs + 1 })],
        [createKey('k1', 1, { signFromMs: startMs + 1 })],
        [createKey('k1', 1, { retiredAtMs: startMs })],
        [short],
      ]) {
        const minted = await createTokens(...keys).tokens.mint(session);
        assert.equal(minted._unsafeUnwrapErr().name, 'not_ready');
      }
    });
  });
});
