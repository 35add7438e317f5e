import type { Workspace } from '@cactusstair/protocol';

import type { ChatBody, RequestClass } from '../callers/chatBody.js';
import type { Usage } from '../upstreams/engineClient.js';
import type { ResolvedVersion } from '../workspaces/versionResolver.js';

/** State of a chat request that is shared by all rungs of its cascade. */
export interface ChatCall {
  requestId: string;
  workspace: Workspace;
  body: ChatBody;
  requestClass: RequestClass;
  /** Estimated token count of the prompt; `expectedTokens` is that of the answer. */
  promptTokens: number;
  expectedTokens: number;
  /** Cumulative hashes of the prompt's blocks, for prefix-cache affinity. */
  prefixHashes: string[];
  /** Identifies equal requests of a workspace in the crash quarantine. */
  fingerprint: string;
  /** Hashes of the messages, which requests that crash upstreams may have in common. */
  traits: string[];
  /** Whether the request runs once although others with its traits crashed upstreams. */
  isTrial: boolean;
  /** Monotonic time by which the answer must be complete. */
  deadlineMs: number;
  signal: AbortSignal;
  /** Whether bytes of the request may have reached an upstream. */
  dispatched: boolean;
  /** Whether an upstream crashed while it ran the request. */
  wasInFlightAtCrash: boolean;
  /** Calls to upstreams so far, over all rungs. */
  attempts: number;
}

/** The complete answer of one rung. */
export interface RungAnswer {
  resolved: ResolvedVersion;
  finishReason: string;
  usage: Usage;
  quality: number | undefined;
  firstTokenMs: number;
  /** Time from the first attempt to the end of the answer. */
  totalMs: number;
}
