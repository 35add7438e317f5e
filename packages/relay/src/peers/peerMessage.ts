import type { CrashReport, LimitReport } from '@cactusstair/routing';

import type { StoreEra } from '../follow/storeHistory.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import type { EngineSums } from '../upstreams/engineEstimators.js';
import type { CapacityReport } from '../upstreams/upstreamCapacities.js';
import { isCapacityReport } from '../upstreams/upstreamCapacities.js';

/**
 * Load that one instance puts on one upstream: running requests, pending prompt work in ms, tokens
 * held.
 */
export type UpstreamLoad = [running: number, backlogMs: number, heldTokens: number];

/**
 * Name of a state that each instance follows in the store and that peers confirm for each other.
 */
export type ViewName = 'config' | 'upstreams' | 'rollouts' | 'evacuations';

/** A view's state, and the age of the read that confirmed it when the message was sent. */
export type ViewState = [state: string, ageMs: number];

/**
 * Acknowledges the last message received from a peer: its incarnation, its sequence number, and the
 * time between receiving it and sending this message.
 */
export type Echo = [incarnation: number, sequence: number, heldMs: number];

/** Sums over several instances, computed by a reporter of their zone. */
export interface FleetReport {
  /** Whether the sums cover the zone of the reporter or all zones. */
  scope: 'zone' | 'fleet';
  /** Number of instances covered. */
  count: number;
  /** The same by zone; absent in reports of older builds. */
  countByZone?: Record<string, number>;
  loads: Record<string, UpstreamLoad>;
  /** The part of the loads that comes from other zones; only in reports to the own zone. */
  remoteLoads?: Record<string, UpstreamLoad>;
  evidence: Record<string, EvidenceSums>;
  /** Absent in reports of older builds. */
  engines?: EngineSums;
  /** Absent in reports of older builds, checked on import. */
  capacities?: CapacityReport;
  pins: string[];
}

/** Message from an instance to its peers. It replaces the previous message of the same sender. */
export interface PeerMessage {
  name: string;
  zone: string;
  capacity: number;
  /** Wall-clock start of the process; a later one replaces an earlier one. */
  incarnation: number;
  sequence: number;
  isLeaving: boolean;
  loads: Record<string, UpstreamLoad>;
  /** Rollout evidence, keyed by service and version. */
  evidence: Record<string, EvidenceSums>;
  /** Prefill samples; absent in messages of older builds. */
  engines?: EngineSums;
  /** Times of calls by upstream and load; absent in messages of older builds, checked on import. */
  capacities?: CapacityReport;
  /** Checked when they are imported. */
  crashes: CrashReport[];
  /** Limits that upstreams have named; absent in messages of older builds, checked on import. */
  limits?: LimitReport[];
  /** Pin keys of sessions that stay on the old version during a rollout. */
  pins: string[];
  views: Partial<Record<ViewName, ViewState>>;
  /** Era of the store; absent if it names none, and in messages of older builds. */
  store?: StoreEra;
  /** Keyed by peer name. */
  echoes: Record<string, Echo>;
  /** Only set in messages of reporters. */
  report?: FleetReport;
}

/** Tells the instances of a zone at once that the load of one of them has changed. */
export interface LoadNotice {
  name: string;
  /** All load of the sender; replaces what its last notice said. */
  load: Record<string, UpstreamLoad>;
}

const PREFILL_SUMS_LENGTH = 5;

const UPSTREAM_LOAD_LENGTH = 3;
/** Bounds the work that the report of a faulty instance can cause. */
const MAX_ZONE_INSTANCES = 1000;

/** Whether a value is a list of `length` numbers that can be added up. */
function isAmounts(value: unknown, length: number): boolean {
  return (
    Array.isArray(value) &&
    value.length === length &&
    value.every((amount) => Number.isFinite(amount) && amount >= 0)
  );
}

/** Whether a value holds engine sums or is absent; they go into arithmetic unchecked. */
function isEngineSums(value: unknown): boolean {
  if (value === undefined) return true;
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).every(
    (models) =>
      typeof models === 'object' &&
      models !== null &&
      Object.values(models as object).every((sums) => isAmounts(sums, PREFILL_SUMS_LENGTH)),
  );
}

/** Whether a value holds numbers of instances or is absent; lists of these lengths are built. */
function isCounts(value: unknown): boolean {
  if (value === undefined) return true;
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).every(
    (count) => Number.isInteger(count) && count >= 0 && count <= MAX_ZONE_INSTANCES,
  );
}

/** Whether a value is an era with the time since its begin, or is absent. */
function isStoreEra(value: unknown): boolean {
  if (value === undefined) return true;
  if (!Array.isArray(value) || value.length !== 2) return false;
  const [era, restoredAgeMs] = value as [unknown, unknown];
  return isAmounts([era], 1) && (restoredAgeMs === null || isAmounts([restoredAgeMs], 1));
}

function isLoadNotice(value: object): value is LoadNotice {
  const { name, load } = value as Partial<LoadNotice>;
  return (
    typeof name === 'string' &&
    typeof load === 'object' &&
    load !== null &&
    Object.values(load).every((part) => isAmounts(part, UPSTREAM_LOAD_LENGTH))
  );
}

function isPeerMessage(value: object): value is PeerMessage {
  const message = value as Partial<PeerMessage>;
  return (
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
    (message.limits === undefined || Array.isArray(message.limits)) &&
    Array.isArray(message.pins) &&
    typeof message.views === 'object' &&
    message.views !== null &&
    typeof message.echoes === 'object' &&
    message.echoes !== null &&
    isStoreEra(message.store) &&
    isEngineSums(message.engines) &&
    isEngineSums(message.report?.engines) &&
    isCapacityReport(message.capacities) &&
    isCapacityReport(message.report?.capacities) &&
    isCounts(message.report?.countByZone)
  );
}

/** Parses a datagram; returns undefined if it is neither a peer message nor a load notice. */
export function parseDatagram(bytes: Buffer): PeerMessage | LoadNotice | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  if (isLoadNotice(value)) return value;
  return isPeerMessage(value) ? value : undefined;
}
