import { computeFingerprint } from '@cactusstair/routing';

import type { ChatBody } from '../callers/chatBody.js';
import { listMessageTexts } from '../callers/chatBody.js';

/** Length of a trait in characters; instances exchange those of suspect requests. */
const TRAIT_LENGTH = 12;
/** Messages of a long conversation that are hashed, at its start and at its end. */
const MAX_MESSAGES_EACH = 32;

/**
 * Returns what a request may have in common with others that crash upstreams: its fingerprint and a
 * hash of each message. The workspace is part of the hashes, so that one workspace cannot cause
 * another one's requests to be refused.
 */
export function listRequestTraits(
  workspace: string,
  fingerprint: string,
  body: ChatBody,
): string[] {
  const texts = listMessageTexts(body);
  const kept =
    texts.length <= 2 * MAX_MESSAGES_EACH
      ? texts
      : [...texts.slice(0, MAX_MESSAGES_EACH), ...texts.slice(-MAX_MESSAGES_EACH)];
  const hashes = kept.map((text) => computeFingerprint(workspace, `message ${text}`));
  return [...new Set([fingerprint, ...hashes].map((hash) => hash.slice(0, TRAIT_LENGTH)))];
}
