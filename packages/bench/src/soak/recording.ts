import type { Bill } from '@cactusstair/protocol';
import type { EngineJournalEntry, ServiceJournalEntry } from '@cactusstair/standins';

import type { ScheduledFault } from './faultSchedule.js';

/** Kind of a request of the mixed load. */
export type RequestKind =
  | 'chat'
  | 'cascade'
  | 'session'
  | 'repeated-id'
  | 'service-read'
  | 'service-call'
  | 'crash-marker'
  | 'crash-probe';

/** One sending of a request as its caller saw it. Times are wall-clock milliseconds. */
export interface CallRecord {
  requestId: string;
  kind: RequestKind;
  workspace: string;
  /** Entry instance that the request was sent to. */
  entry: string;
  model: string;
  stream: boolean;
  /** Tokens that the whole answer has. */
  expectedTokens: number;
  /** Number of the session, if the request belongs to one. */
  session?: number;
  idempotencyKey?: string;
  sentAtMs: number;
  endedAtMs: number;
  /** Absent if no answer began. */
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
  /** Whether the answer came to its regular end. */
  complete: boolean;
  /** Error of the connection. */
  error?: string;
}

/** Journal of an engine with its name. */
export interface EngineJournal {
  upstream: string;
  requests: EngineJournalEntry[];
}

/** Journal of a plain service with its name. */
export interface ServiceJournal {
  upstream: string;
  calls: ServiceJournalEntry[];
}

/** An accepted change of an operator, or its refusal. */
export interface OperatorRecord {
  action: 'put' | 'withdraw' | 'rollout';
  name: string;
  sentAtMs: number;
  accepted: boolean;
  /** Set for the members of one race: changes that expect the same version. */
  race?: number;
  revision?: number;
  acceptedAtMs?: number;
  /** Permit of the withdrawn version when it was withdrawn. */
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

/** One reading of the metrics port of an entry instance. */
export interface MetricsSample {
  entry: string;
  /** Process id, which tells restarts apart. */
  pid: number;
  atMs: number;
  configRevision: number;
  /** Invariant evaluations and violations by name. */
  checks: Record<string, number>;
  violations: Record<string, number>;
}

/** What a fault did, with its times. */
export interface FaultRecord {
  fault: ScheduledFault;
  startedAtMs: number;
  endedAtMs: number;
  /** Exit code of a stopped process. */
  exitCode?: number | null;
  error?: string;
}

/** Everything that the checker compares. */
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
  /** Revision of a last change after all faults, and when it was made. */
  lastChange: { revision: number; atMs: number } | undefined;
}

/** A violation of a property. */
export interface Violation {
  detail: string;
  /** Request that it concerns. */
  requestId?: string;
}

/** The outcome of one property's check. */
export interface PropertyResult {
  property: string;
  /** Events that put the property to the test. */
  tested: number;
  violations: Violation[];
}
