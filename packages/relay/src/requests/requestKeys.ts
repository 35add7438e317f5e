import { createClientKey } from '@cactusstair/utils';

import type { PromptPart, RelayRequest } from './relayRequest.js';

/**
 * Parts of a prompt by which an upstream is chosen and crashes are attributed. The work for a request
 * grows with this number times that of the upstreams.
 */
export const MAX_PROMPT_PARTS = 64;

/**
 * Returns the parts of a prompt that are looked at, with short ids: the first ones and the last, which
 * stands for all others as well.
 */
export function selectPromptParts(parts: readonly PromptPart[]): PromptPart[] {
  const last = parts.at(-1);
  const selected = parts.slice(0, MAX_PROMPT_PARTS - 1);
  if (last && parts.length >= MAX_PROMPT_PARTS) {
    const rest = parts.slice(MAX_PROMPT_PARTS - 1);
    selected.push({ id: last.id, tokens: rest.reduce((sum, { tokens }) => sum + tokens, 0) });
  }
  return selected.map(({ id, tokens }) => ({ id: createClientKey(id), tokens }));
}

/**
 * Returns bounded keys in place of what a caller chose. The headers that are passed on keep what it
 * sent.
 */
export function createRequestKeys({
  promptParts,
  session,
}: Pick<RelayRequest, 'promptParts' | 'session'>): Pick<RelayRequest, 'promptParts' | 'session'> {
  return {
    promptParts: selectPromptParts(promptParts),
    session: session === undefined ? undefined : createClientKey(session),
  };
}
