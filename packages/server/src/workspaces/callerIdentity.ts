import { createHash } from 'node:crypto';

import type { ConfigReplica } from '@cactusstair/coordination';
import type { Failure, Workspace } from '@cactusstair/protocol';
import { createFailure } from '@cactusstair/protocol';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

const MAX_KEY_LENGTH = 256;

/** Returns the lower-case hexadecimal SHA-256 digest by which a key is stored and looked up. */
export function digestApiKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Finds the workspace of the key in an `Authorization: Bearer` header.
 *
 * Keys are looked up by digest, so that the lookup time reveals nothing about the key.
 */
export function authenticateCaller(
  replica: ConfigReplica,
  authorization: string | undefined,
): Result<Workspace, Failure> {
  const key = /^Bearer (\S+)$/.exec(authorization ?? '')?.[1];
  if (!key || key.length > MAX_KEY_LENGTH) {
    return err(
      createFailure(
        'unauthenticated',
        'the Authorization header does not contain a valid bearer key',
      ),
    );
  }
  const workspace = replica.findWorkspaceByKeyDigest(digestApiKey(key));
  if (!workspace) {
    return err(createFailure('unauthenticated', 'the API key does not belong to any workspace'));
  }
  return ok(workspace);
}
