import { createHash } from 'node:crypto';

/** Length of the longest client key, in characters. */
export const MAX_CLIENT_KEY_LENGTH = 64;
/** Begins the key of a longer text. */
const DIGEST_MARK = '#';

/**
 * Returns a short key for a text that a client has chosen, such as the id of a session. Equal texts have
 * equal keys at all instances, so that a map may keep the key where the text would be unbounded.
 *
 * @param text characters of Latin-1, as Node.js decodes header values
 */
export function createClientKey(text: string): string {
  if (text.length > MAX_CLIENT_KEY_LENGTH) {
    return DIGEST_MARK + createHash('sha1').update(text, 'latin1').digest('base64url');
  }
  // A part of a longer text would keep all of it in memory.
  return Buffer.from(text, 'latin1').toString('latin1');
}
