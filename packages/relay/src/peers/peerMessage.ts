import type { CrashEntry } from '@cactusstair/routing';

import type { EvidenceSums } from '../rollouts/versionEvidence.js';

/** Load of one instance at one upstream: requests, prompt work in ms, tokens held. */
export type UpstreamLoad = [running: number, backlogMs: number, heldTokens: number];

/** What an instance tells its peers. Each message replaces the one before it. */
export interface PeerMessage {
  name: string;
  /** Wall-clock start of the process; a later one replaces an earlier one. */
  incarnation: number;
  sequence: number;
  isLeaving: boolean;
  loads: Record<string, UpstreamLoad>;
  /** Evidence by service and version. */
  evidence: Record<string, EvidenceSums>;
  crashes: CrashEntry[];
}

/** Parses a datagram; undefined for bytes that are no message of a peer. */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const message = value as Partial<PeerMessage>;
  const isValid =
    typeof message.name === 'string' &&
    typeof message.incarnation === 'number' &&
    typeof message.sequence === 'number' &&
    typeof message.loads === 'object' &&
    message.loads !== null &&
    typeof message.evidence === 'object' &&
    message.evidence !== null &&
    Array.isArray(message.crashes);
  return isValid ? (message as PeerMessage) : undefined;
}
