import type { CallRecord, Recording } from '@cactusstair/bench';
import { checkRecording } from '@cactusstair/bench';
import { Bill } from '@cactusstair/protocol';
import type { EngineJournalEntry, ServiceJournalEntry } from '@cactusstair/standins';
import { createAnswerText } from '@cactusstair/standins';

/** Start time of the recorded calls. */
export const START_MS = 1_000_000;

export const TOKENS = 6;

/** Creates a call with a complete, non-streamed chat answer. */
export function createCall(requestId: string, change: Partial<CallRecord> = {}): CallRecord {
  return {
    requestId,
    kind: 'chat',
    workspace: 'ladders',
    entry: 'riga-a-1',
    model: 'small@1',
    stream: false,
    expectedTokens: TOKENS,
    sentAtMs: START_MS,
    endedAtMs: START_MS + 100,
    status: 200,
    answeredId: requestId,
    costMicros: 3,
    replayed: false,
    text: createAnswerText(requestId, TOKENS),
    complete: true,
    ...change,
  };
}

export function createRun(
  requestId: string,
  change: Partial<EngineJournalEntry> = {},
): EngineJournalEntry {
  return {
    requestId,
    attempt: '1',
    model: 'small',
    version: '1',
    receivedAtMs: START_MS + 10,
    startedAtMs: START_MS + 10,
    endedAtMs: START_MS + 90,
    outcome: 'done',
    tokens: TOKENS,
    resumeFrom: 0,
    receivedWhileLeaving: false,
    ...change,
  };
}

export function createServiceRun(
  requestId: string,
  idempotencyKey: string | undefined,
  effect = 1,
): ServiceJournalEntry {
  return {
    effect,
    method: 'POST',
    path: '/results',
    idempotencyKey,
    requestId,
    attempt: '1',
    receivedAtMs: START_MS + 10,
    ranAtMs: START_MS + 12,
    receivedWhileLeaving: false,
  };
}

/** Creates an answered service call with an Idempotency-Key. */
export function createServiceCall(
  requestId: string,
  idempotencyKey: string,
  change: Partial<CallRecord> = {},
): CallRecord {
  const body = { service: 'standings-1', effect: 1, idempotencyKey, requestId };
  return createCall(requestId, {
    kind: 'service-call',
    model: 'service:standings',
    idempotencyKey,
    costMicros: 0,
    text: JSON.stringify(body),
    ...change,
  });
}

export function createBill(requestId: string, costMicros = 3): Bill {
  return Bill.fromPartial({ workspace: 'ladders', requestId, costMicros });
}

/** Creates a recording without violations and applies `change`. */
export function createRecording(change: Partial<Recording> = {}): Recording {
  return {
    seed: 1,
    permits: { candidateMs: 10_000, settledMs: 20_000 },
    allowed: { ladders: ['small@1', 'small@2'] },
    zones: { 'riga-a-1': 'riga-a' },
    calls: [createCall('r1')],
    engines: [{ upstream: 'engine-1', requests: [createRun('r1')] }],
    services: [],
    bills: [createBill('r1')],
    operators: [],
    history: [],
    samples: [],
    faults: [],
    lastChange: { revision: 1, atMs: START_MS },
    ...change,
  };
}

/** Checks a recording and returns the details of the violations by property. */
export function findViolations(recording: Recording): Record<string, string[]> {
  return Object.fromEntries(
    checkRecording(recording)
      .filter(({ violations }) => violations.length > 0)
      .map(({ property, violations }) => [property, violations.map(({ detail }) => detail)]),
  );
}
