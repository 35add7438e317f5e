import type { Bill } from '@cactusstair/protocol';
import type { EngineJournalEntry, ServiceJournalEntry } from '@cactusstair/standins';

import type { ScheduledFault } from './faultSchedule.js';

/** Kind of request in the mixed load. */
export type RequestKind =
  | 'chat'
  | 'cascade'
  | 'session'
  | 'repeated-id'
  | 'service-read'
  | 'service-call'
  | 'crash-marker'
  | 'crash-probe';

/**
 * One call as seen by its caller; a repeat is a call of its own. Times are wall-clock milliseconds.
 */
export interface CallRecord {
  requestId: string;
  kind: RequestKind;
  workspace: string;
  /** Entry instance that the request was sent to. */
  entry: string;
  model: string;
  stream: boolean;
  /** Number of tokens of the complete answer. */
  expectedTokens: number;
  /** Session number; undefined outside a session. */
  session?: number;
  idempotencyKey?: string;
  sentAtMs: number;
  endedAtMs: number;
  /** HTTP status; undefined if no answer arrived. */
  status?: number;
  /** Result code of a failure. */
  code?: number;
  /** Message of a failure. */
  message?: string;
  ran?: string;
  answeredId?: string;
  answeredModel?: string;
  answeredVersion?: string;
  costMicros?: number;
  replayed: boolean;
  /** Text of a chat answer, or the body of a service answer. */
  text: string;
  /** Whether the answer reached its regular end. */
  complete: boolean;
  /** Connection error. */
  error?: string;
}

/** Journal of an engine, with the name of the engine. */
export interface EngineJournal {
  upstream: string;
  requests: EngineJournalEntry[];
}

/** Journal of a plain service, with the name of the service process. */
export interface ServiceJournal {
  upstream: string;
  calls: ServiceJournalEntry[];
}

/** A change requested by an operator, accepted or refused. */
export interface OperatorRecord {
  action: 'put' | 'withdraw' | 'rollout';
  name: string;
  sentAtMs: number;
  accepted: boolean;
  /** Number of the race: a group of concurrent changes that expect the same version. */
  race?: number;
  revision?: number;
  acceptedAtMs?: number;
  /** State of the withdrawn version at its withdrawal, which determines the permit duration. */
  permit?: 'candidate' | 'settled';
  error?: string;
}

/** A write in the history of the object API. */
export interface HistoryRecord {
  kind: string;
  name: string;
  revision: number;
  version: number;
  deleted: boolean;
  atMs: number;
}

/** Metrics of an entry instance at one time. */
export interface MetricsSample {
  entry: string;
  /** Process id; distinguishes the process from its replacement after a restart. */
  pid: number;
  atMs: number;
  configRevision: number;
  /** Number of evaluations and violations by invariant. */
  checks: Record<string, number>;
  violations: Record<string, number>;
}

/** An injected fault with its times and result. */
export interface FaultRecord {
  fault: ScheduledFault;
  startedAtMs: number;
  endedAtMs: number;
  /** Exit code of a stopped process. */
  exitCode?: number | null;
  error?: string;
}

/** Recorded data of a run, the input of the checker. */
export interface Recording {
  seed: number;
  permits: { candidateMs: number; settledMs: number };
  /** Allowed `model@version` by workspace. */
  allowed: Record<string, string[]>;
  /** Entry instances and their zones. */
  zones: Record<string, string>;
  calls: CallRecord[];
  engines: EngineJournal[];
  services: ServiceJournal[];
  bills: Bill[];
  operators: OperatorRecord[];
  history: HistoryRecord[];
  samples: MetricsSample[];
  faults: FaultRecord[];
  /** Last change, made after all faults. */
  lastChange: { revision: number; atMs: number } | undefined;
}

/** A violation of a property. */
export interface Violation {
  detail: string;
  /** Id of the affected request. */
  requestId?: string;
}

/** Result of the check of one property. */
export interface PropertyResult {
  property: string;
  /** Number of recorded events that the property applies to. */
  tested: number;
  violations: Violation[];
}
