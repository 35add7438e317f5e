import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { FaultRecord, MetricsSample, OperatorRecord, Recording } from '@cactusstair/bench';
import { checkRecording, formatTable } from '@cactusstair/bench';

import {
  createBill,
  createCall,
  createRecording,
  createRun,
  createServiceCall,
  createServiceRun,
  findViolations,
  START_MS,
} from './recordingFixture.js';

function assertFinds(property: string, detail: RegExp, change: Partial<Recording>): void {
  const found = findViolations(createRecording(change));
  assert.deepEqual(Object.keys(found), [property]);
  assert.match(found[property]?.join('\n') ?? '', detail);
}

function createFault(kind: FaultRecord['fault']['kind'], target: string, lengthMs: number) {
  const fault = { kind, target, atMs: 0, durationMs: lengthMs };
  return { fault, startedAtMs: START_MS, endedAtMs: START_MS + lengthMs } satisfies FaultRecord;
}

function createSample(offsetMs: number, configRevision: number): MetricsSample {
  const atMs = START_MS + offsetMs;
  return { entry: 'riga-a-1', pid: 1, atMs, configRevision, checks: {}, violations: {} };
}

const withdrawal: OperatorRecord = {
  action: 'withdraw',
  name: 'small@2',
  sentAtMs: START_MS,
  accepted: true,
  acceptedAtMs: START_MS,
  revision: 9,
  permit: 'candidate',
};

describe('checkRecording', () => {
  it('reports no violations for a correct recording and marks untested properties', () => {
    const results = checkRecording(createRecording());
    assert.equal(results.flatMap(({ violations }) => violations).length, 0);
    assert.match(formatTable(results), /leaving upstream gets no new work +not tested +0/);
  });

  describe('versions', () => {
    it('finds a request that ran on a version not allowed for its workspace', () => {
      const requests = [createRun('r1', { version: '7' })];
      assertFinds('allowed models and versions only', /ran small@7, which ladders may not use/, {
        engines: [{ upstream: 'engine-1', requests }],
      });
    });

    it('finds work on a withdrawn version after the bound, and none before it', () => {
      const createAt = (offsetMs: number) => ({
        operators: [withdrawal],
        engines: [
          {
            upstream: 'engine-1',
            requests: [createRun('r1', { version: '2', receivedAtMs: START_MS + offsetMs })],
          },
        ],
      });
      assertFinds('withdrawn version gets no new work', /1 ms after the bound/, createAt(10_001));
      assert.deepEqual(findViolations(createRecording(createAt(10_000))), {});
    });

    it('finds a session that changes its version', () => {
      assertFinds('a session keeps its version', /session 4 moved from small@1 to small@2/, {
        calls: ['r1', 'r2'].map((id) => createCall(id, { session: 4 })),
        bills: [createBill('r1'), createBill('r2')],
        engines: [
          {
            upstream: 'engine-1',
            requests: [
              createRun('r1'),
              createRun('r2', { version: '2', receivedAtMs: START_MS + 50 }),
            ],
          },
        ],
      });
    });

    it('finds work on an upstream that has been leaving for more than 3 s', () => {
      const requests = [
        createRun('r1', { receivedAtMs: START_MS + 3001, receivedWhileLeaving: true }),
      ];
      assertFinds('leaving upstream gets no new work', /received work 3001 ms after/, {
        engines: [{ upstream: 'engine-1', requests }],
        faults: [createFault('upstream-leave', 'engine-1', 6000)],
      });
    });
  });

  describe('bills', () => {
    const property = 'one bill for each answered request';

    it('finds an answer without a bill', () => {
      assertFinds(property, /without a bill/, { bills: [] });
    });

    it('finds a request that was billed twice', () => {
      assertFinds(property, /2 bills/, { bills: [createBill('r1'), createBill('r1')] });
    });

    it('finds a bill whose cost differs from the answer', () => {
      assertFinds(property, /3 micros, the bill 4/, { bills: [createBill('r1', 4)] });
    });

    it('finds a replayed answer whose call was never billed', () => {
      assertFinds(property, /no sending with the key k1 has a bill/, {
        calls: [createServiceCall('s2', 'k1', { replayed: true })],
        engines: [],
        services: [{ upstream: 'standings-1', calls: [createServiceRun('s1', 'k1')] }],
      });
    });
  });

  describe('answers', () => {
    const property = 'whole answer to the own request';

    it('finds a truncated answer that looks complete', () => {
      assertFinds(property, /not the whole answer/, { calls: [createCall('r1', { text: 'r1:' })] });
    });

    it('finds a stream that ends early without an error', () => {
      const call = createCall('r1', { stream: true, text: 'r1:', complete: false });
      assertFinds(property, /ends early and without an error/, { calls: [call] });
    });

    it('finds the text of another request', () => {
      const call = createCall('r1', { text: createCall('r2').text });
      assertFinds(property, /not the whole answer: "r2:/, { calls: [call] });
      const begun = createCall('r1', { text: 'r2:', complete: false, error: 'reset' });
      assertFinds(property, /foreign text/, { calls: [begun] });
    });

    it('finds an answer with the id of another request', () => {
      const call = createCall('r1', { answeredId: 'r2' });
      assertFinds(property, /carries the request id r2/, { calls: [call] });
    });

    it('accepts a broken stream that ends in an error', () => {
      const call = createCall('r1', { text: 'r1:', complete: false, code: 3102 });
      assert.deepEqual(findViolations(createRecording({ calls: [call] })), {});
    });

    it('finds a request that ran although it was reported as not run', () => {
      const call = createCall('r1', { status: 503, code: 2103, ran: 'no', complete: false });
      assertFinds('"not run" means not run', /says not run; engine-1 ran it/, { calls: [call] });
    });
  });

  describe('non-idempotent calls', () => {
    const property = 'non-idempotent runs at most once';

    it('finds a call that ran twice', () => {
      const calls = [createServiceRun('s1', 'k1', 1), createServiceRun('s1', 'k1', 2)];
      assertFinds(property, /ran 2 times/, {
        calls: [createServiceCall('s1', 'k1')],
        bills: [createBill('s1', 0)],
        engines: [],
        services: [{ upstream: 'standings-1', calls }],
      });
    });

    it('finds a repeat with a different answer than the first call', () => {
      const text = JSON.stringify({ service: 'standings-1', effect: 2, idempotencyKey: 'k1' });
      assertFinds(property, /shows effect standings-1\/2, the journal standings-1\/1/, {
        calls: [createServiceCall('s1', 'k1', { text })],
        bills: [createBill('s1', 0)],
        engines: [],
        services: [{ upstream: 'standings-1', calls: [createServiceRun('s1', 'k1')] }],
      });
    });
  });

  describe('instances and configuration', () => {
    it('finds a request that a graceful restart interrupted', () => {
      const call = createCall('r1', { complete: false, text: '', error: 'UND_ERR_SOCKET closed' });
      assertFinds('graceful restart cuts no request', /cut by the graceful restart/, {
        calls: [call],
        faults: [{ ...createFault('entry-restart', 'riga-a-1', 2000), exitCode: 0 }],
      });
    });

    it('finds a graceful stop that fails', () => {
      assertFinds('graceful restart cuts no request', /stopped with code null/, {
        faults: [{ ...createFault('entry-restart', 'riga-a-1', 2000), exitCode: null }],
      });
    });

    it('finds a configuration revision that decreases', () => {
      const samples = [createSample(0, 5), createSample(250, 4)];
      assertFinds('configuration never goes back', /revision 5 to 4/, { samples });
    });

    const history = [
      {
        kind: 'workspace',
        name: 'ladders',
        revision: 7,
        version: 2,
        deleted: false,
        atMs: START_MS,
      },
    ];

    it('finds a change that takes effect after the bound or never', () => {
      const late = [createSample(0, 5), createSample(12_001, 7)];
      assertFinds('change in force within 12 s', /after 12001 ms/, { history, samples: late });
      const never = [createSample(0, 5), createSample(12_001, 5)];
      assertFinds('change in force within 12 s', /never/, { history, samples: never });
    });

    it('ignores changes made while the instance was cut off', () => {
      const samples = [createSample(0, 5), createSample(14_000, 7)];
      const faults = [createFault('platform-outage', 'platform', 13_000)];
      assert.deepEqual(findViolations(createRecording({ history, samples, faults })), {});
    });

    it('ignores changes made before the instance started', () => {
      const samples = [createSample(14_000, 7)];
      assert.deepEqual(findViolations(createRecording({ history, samples })), {});
    });

    it('finds a run after whose faults no change is accepted', () => {
      assertFinds('change in force within 12 s', /no change was accepted/, {
        lastChange: undefined,
      });
    });

    it('finds two accepted changes that expected the same version', () => {
      const change: OperatorRecord = { ...withdrawal, action: 'put', name: 'ladders', race: 1 };
      const races = [7, 8].map((revision) => ({ ...change, revision }));
      assertFinds('one of racing changes is accepted', /2 changes were accepted/, {
        operators: races,
        history: [...history, ...history.map((item) => ({ ...item, revision: 8 }))],
        samples: [createSample(0, 8), createSample(100, 8)],
      });
    });

    it('finds a violation in the invariant counters of an instance', () => {
      const sample = { ...createSample(0, 1), violations: { dispatched_version_is_allowed: 1 } };
      assertFinds('invariants asserted in the program', /counted 1 of dispatched/, {
        samples: [sample],
      });
    });
  });

  describe('crashing requests', () => {
    const crash = { outcome: 'crashed', endedAtMs: START_MS + 60 } as const;

    it('finds an unanswered request on an engine that another request crashed', () => {
      const failed = { status: 502, code: 3102, ran: 'unknown', complete: false };
      assertFinds('innocent beside a crash is answered', /status 502, code 3102/, {
        calls: [createCall('r1', failed), createCall('m1', { ...failed, kind: 'crash-marker' })],
        engines: [
          { upstream: 'engine-1', requests: [createRun('r1', crash), createRun('m1', crash)] },
        ],
      });
    });

    it('accepts an unanswered request whose version was withdrawn before a retry', () => {
      const failed = { status: 502, code: 3102, ran: 'unknown', complete: false };
      const calls = [
        createCall('r1', failed),
        createCall('m1', { ...failed, kind: 'crash-marker' }),
      ];
      const requests = [createRun('r1', crash), createRun('m1', crash)];
      const create = (name: string) =>
        findViolations(
          createRecording({
            calls,
            engines: [{ upstream: 'engine-1', requests }],
            operators: [{ ...withdrawal, name }],
          }),
        );
      assert.deepEqual(Object.keys(create('small@1')), []);
      assert.deepEqual(Object.keys(create('small@2')), ['innocent beside a crash is answered']);
    });

    it('finds an instance that accepts the crashing request again', () => {
      const taken = createCall('m1', { kind: 'crash-probe', status: 502, code: 3102 });
      assertFinds('crashing request is refused', /took the crashing request again/, {
        calls: [{ ...taken, complete: false }],
        engines: [],
      });
    });
  });
});
