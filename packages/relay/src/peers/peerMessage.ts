import type { CrashEntry } from '@cactusstair/routing';

import type { EvidenceSums } from '../rollouts/versionEvidence.js';

/** Load of one instance at one upstream: requests, prompt work in ms, tokens held. */
export type UpstreamLoad = [running: number, backlogMs: number, heldTokens: number];

/** State that an instance follows in the store, which peers can confirm for each other. */
export type ViewName = 'config' | 'upstreams' | 'rollouts';

/** A view's state, and the age of the read that confirmed it when the message was sent. */
export type ViewState = [state: string, ageMs: number];

/** The last message heard from a peer, and how long before this one it came. */
export type Echo = [incarnation: number, sequence: number, heldMs: number];

/** Sums over several instances, made by a reporter of their zone. */
export interface FleetReport {
  /** The instances of the reporter's zone, or those of all zones. */
  scope: 'zone' | 'fleet';
  /** Instances that are summed up. */
  count: number;
  loads: Record<string, UpstreamLoad>;
  evidence: Record<string, EvidenceSums>;
  pins: string[];
}

/** What an instance tells its peers. Each message replaces the one before it. */
export interface PeerMessage {
  name: string;
  zone: string;
  capacity: number;
  /** Wall-clock start of the process; a later one replaces an earlier one. */
  incarnation: number;
  sequence: number;
  isLeaving: boolean;
  loads: Record<string, UpstreamLoad>;
  /** Evidence by service and version. */
  evidence: Record<string, EvidenceSums>;
  crashes: CrashEntry[];
  /** Sessions that stay on the old version of a roll-out. */
  pins: string[];
  views: Partial<Record<ViewName, ViewState>>;
  /** By name of the peer. */
  echoes: Record<string, Echo>;
  /** Present in the messages of a reporter. */
  report?: FleetReport;
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
    typeof message.zone === 'string' &&
    typeof message.capacity === 'number' &&
    typeof message.incarnation === 'number' &&
    typeof message.sequence === 'number' &&
    typeof message.loads === 'object' &&
    message.loads !== null &&
    typeof message.evidence === 'object' &&
    message.evidence !== null &&
    Array.isArray(message.crashes) &&
    Array.isArray(message.pins) &&
    typeof message.views === 'object' &&
    message.views !== null &&
    typeof message.echoes === 'object' &&
    message.echoes !== null;
  return isValid ? (message as PeerMessage) : undefined;
}
