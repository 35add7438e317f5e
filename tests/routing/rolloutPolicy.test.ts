import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Rollout, RolloutPhase } from '@cactusstair/protocol';
import {
  assignArm,
  decideRollout,
  VersionStatsRecorder,
  VersionStatsTable,
} from '@cactusstair/routing';
import type { RolloutArm, RolloutDecision } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

const INSTANCES = 3;
const DECISION_PERIOD_REQUESTS = 100;
const REQUESTS_PER_SESSION = 4;

function createRollout(changes: Partial<Rollout> = {}): Rollout {
  return Rollout.fromPartial({
    name: 'review-2',
    model: 'review',
    baselineVersion: 'v1',
    candidateVersion: 'v2',
    steps: [5, 25, 100],
    phase: RolloutPhase.RUNNING,
    minRatingsPerStep: 20,
    qualityMargin: 0.05,
    ...changes,
  });
}

interface Behaviour {
  rating: number;
  errorShare: number;
  slowShare: number;
  /** Share of the answers whose tokens come eight times slower. */
  slowTokenShare?: number;
}

const GOOD: Behaviour = { rating: 0.8, errorShare: 0.01, slowShare: 0.05 };

interface Run {
  decision: RolloutDecision;
  exposed: number;
  stepIndex: number;
  heldOnce: boolean;
}

/** Runs a rollout over several instances until it ends or `maxRequests` are answered. */
function runRollout(
  seed: number,
  candidate: Behaviour,
  { ratedShare = 0.2, maxRequests = 60_000, badFromStep = 0 } = {},
): Run {
  const random = createRandom(seed);
  const rollout = createRollout();
  const table = new VersionStatsTable();
  const recorders = Array.from({ length: INSTANCES }, (_, index) => {
    return new VersionStatsRecorder({ instance: `i${index}`, incarnation: 1 });
  });
  const run: Run = {
    decision: { type: 'wait', hold: false },
    exposed: 0,
    stepIndex: 0,
    heldOnce: false,
  };
  let arm: RolloutArm = 'baseline';
  for (let request = 0; request < maxRequests; request += 1) {
    if (request % DECISION_PERIOD_REQUESTS === 0) {
      recorders.forEach((recorder) => table.importStats(recorder.exportStats()));
      run.decision = decideRollout(rollout, table.sumStats());
      if (run.decision.type === 'withdraw' || run.decision.type === 'complete') break;
      if (run.decision.type === 'advance') rollout.stepIndex += 1;
      rollout.hold = run.decision.type === 'wait' && run.decision.hold;
      run.heldOnce ||= rollout.hold;
      run.stepIndex = rollout.stepIndex;
      recorders.forEach((recorder) => recorder.setRollouts([rollout]));
    }
    if (request % REQUESTS_PER_SESSION === 0) arm = assignArm(rollout, `${seed}-${request}`);
    const bad = arm === 'candidate' && rollout.stepIndex >= badFromStep;
    const { rating, errorShare, slowShare, slowTokenShare } = bad ? candidate : GOOD;
    const version = arm === 'candidate' ? 'v2' : 'v1';
    const recorder = recorders[random.nextInt(INSTANCES)];
    const failed = random.next() < errorShare;
    const firstTokenMs = random.next() < slowShare ? 5000 : 300;
    const hasSlowTokens = slowTokenShare !== undefined && random.next() < slowTokenShare;
    const tokenGapMs = hasSlowTokens ? 8 * TOKEN_GAP_MS : TOKEN_GAP_MS;
    recorder?.recordOutcome({ model: 'review', version, failed, firstTokenMs, tokenGapMs });
    if (random.next() < ratedShare) {
      const value = Math.min(1, Math.max(0, rating + 0.4 * (random.next() - 0.5)));
      recorder?.recordRating({ model: 'review', version, rating: value });
    }
    if (arm === 'candidate') run.exposed += 1;
  }
  return run;
}

const TOKEN_GAP_MS = 20;
const seeds = Array.from({ length: 20 }, (_, index) => index + 1);

describe('decideRollout', () => {
  describe('withdrawal', () => {
    const cases: Record<string, { behaviour: Behaviour; maxExposed: number; metric: string }> = {
      rating: { behaviour: { ...GOOD, rating: 0.5 }, maxExposed: 500, metric: 'quality' },
      errors: { behaviour: { ...GOOD, errorShare: 0.3 }, maxExposed: 150, metric: 'errors' },
      latency: { behaviour: { ...GOOD, slowShare: 0.6 }, maxExposed: 150, metric: 'latency' },
      pace: { behaviour: { ...GOOD, slowTokenShare: 0.6 }, maxExposed: 150, metric: 'latency' },
    };
    Object.entries(cases).forEach(([name, { behaviour, maxExposed, metric }]) => {
      it(`withdraws a version with worse ${name} within ${maxExposed} exposed requests`, () => {
        seeds.forEach((seed) => {
          const { decision, exposed } = runRollout(seed, behaviour);
          assert.equal(decision.type, 'withdraw');
          assert.match(decision.type === 'withdraw' ? decision.reason : '', new RegExp(metric));
          assert.ok(exposed <= maxExposed, `seed ${seed}: ${exposed} exposed requests`);
        });
      });
    });

    it('withdraws a version whose rating drops at a later step after a good first step', () => {
      seeds.forEach((seed) => {
        const { decision } = runRollout(seed, { ...GOOD, rating: 0.4 }, { badFromStep: 1 });
        assert.equal(decision.type, 'withdraw');
      });
    });
  });

  it('does not withdraw equal versions in more than the share alpha of whole rollouts', () => {
    const experiments = 200;
    let withdrawn = 0;
    let completed = 0;
    for (let seed = 1000; seed < 1000 + experiments; seed += 1) {
      const { decision } = runRollout(seed, GOOD, { maxRequests: 30_000 });
      if (decision.type === 'withdraw') withdrawn += 1;
      if (decision.type === 'complete') completed += 1;
    }
    assert.ok(withdrawn / experiments <= 0.05, `withdrawn: ${withdrawn}`);
    assert.ok(completed / experiments >= 0.9, `completed: ${completed}`);
  });

  describe('waiting', () => {
    it('waits without traffic instead of advancing on missing evidence', () => {
      assert.deepEqual(decideRollout(createRollout(), []), { type: 'wait', hold: false });
    });

    it('waits in a phase other than running even if the evidence is sufficient', () => {
      const recorder = new VersionStatsRecorder({ instance: 'a', incarnation: 1 });
      recorder.setRollouts([createRollout()]);
      for (let request = 0; request < 100; request += 1) {
        recorder.recordOutcome({ model: 'review', version: 'v1', failed: false });
        recorder.recordOutcome({ model: 'review', version: 'v2', failed: true });
      }
      const { stats } = recorder.exportStats();
      assert.equal(decideRollout(createRollout(), stats).type, 'withdraw');
      const paused = createRollout({ phase: RolloutPhase.PAUSED });
      assert.equal(decideRollout(paused, stats).type, 'wait');
    });

    it('holds at the exposure limit when no rating arrives', () => {
      const { decision, exposed, stepIndex } = runRollout(3, GOOD, { ratedShare: 0 });
      assert.deepEqual(decision, { type: 'wait', hold: true });
      assert.equal(stepIndex, 0);
      assert.ok(exposed <= 500 + DECISION_PERIOD_REQUESTS, `exposed: ${exposed}`);
    });

    it('resumes a held step when late ratings arrive', () => {
      const rollout = createRollout({ hold: true });
      const recorder = new VersionStatsRecorder({ instance: 'a', incarnation: 1 });
      recorder.setRollouts([rollout]);
      for (let request = 0; request < 500; request += 1) {
        recorder.recordOutcome({ model: 'review', version: 'v2', failed: false });
      }
      const held = decideRollout(rollout, recorder.exportStats().stats);
      assert.deepEqual(held, { type: 'wait', hold: true });
      for (let rating = 0; rating < 10; rating += 1) {
        recorder.recordRating({ model: 'review', version: 'v2', rating: 0.8 });
      }
      const resumed = decideRollout(rollout, recorder.exportStats().stats);
      assert.deepEqual(resumed, { type: 'wait', hold: false });
    });

    it('waits when the evidence belongs to an earlier rollout of the same version', () => {
      const recorder = new VersionStatsRecorder({ instance: 'a', incarnation: 1 });
      recorder.setRollouts([createRollout({ name: 'earlier' })]);
      for (let request = 0; request < 100; request += 1) {
        recorder.recordOutcome({ model: 'review', version: 'v1', failed: false });
        recorder.recordOutcome({ model: 'review', version: 'v2', failed: true });
      }
      const decision = decideRollout(createRollout(), recorder.exportStats().stats);
      assert.equal(decision.type, 'wait');
    });
  });
});

describe('VersionStatsTable', () => {
  function createRecorder(incarnation: number, requests: number): VersionStatsRecorder {
    const recorder = new VersionStatsRecorder({ instance: 'a', incarnation });
    recorder.setRollouts([createRollout()]);
    for (let request = 0; request < requests; request += 1) {
      recorder.recordOutcome({ model: 'review', version: 'v1', failed: false });
      recorder.recordOutcome({ model: 'review', version: 'v2', failed: request % 2 === 0 });
    }
    return recorder;
  }

  const findCandidate = (table: VersionStatsTable) =>
    table.sumStats().find((stats) => stats.version === 'v2');

  it('counts evidence once when replies are repeated or arrive out of order', () => {
    const recorder = createRecorder(1, 10);
    const earlier = recorder.exportStats();
    recorder.recordOutcome({ model: 'review', version: 'v2', failed: true });
    const later = recorder.exportStats();
    const table = new VersionStatsTable();
    [later, earlier, later, earlier].forEach((list) => table.importStats(list));
    assert.equal(findCandidate(table)?.requests, 11);
    assert.deepEqual(table.sumStats(), later.stats);
  });

  it('keeps what an instance counted before it restarted with a new incarnation', () => {
    const table = new VersionStatsTable();
    const first = createRecorder(1, 10).exportStats();
    const second = createRecorder(2, 4).exportStats();
    [first, second, first, second].forEach((list) => table.importStats(list));
    const candidate = findCandidate(table);
    assert.equal(candidate?.requests, 14);
    assert.equal(candidate.evidence?.steps[0]?.errors?.pairs, 14);
  });

  it('gives the same sums for any order of replies', () => {
    const a = createRecorder(1, 10).exportStats();
    const b = { ...createRecorder(1, 7).exportStats(), instance: 'b' };
    const sums = [
      [a, b],
      [b, a],
    ].map((lists) => {
      const table = new VersionStatsTable();
      lists.forEach((list) => table.importStats(list));
      return findCandidate(table)?.requests;
    });
    assert.deepEqual(sums, [17, 17]);
  });

  it('drops the counters of a version whose rollout has ended', () => {
    const table = new VersionStatsTable();
    table.importStats(createRecorder(1, 3).exportStats());
    table.removeVersion('review', 'v2');
    assert.equal(findCandidate(table), undefined);
  });
});

describe('assignArm', () => {
  const sessions = Array.from({ length: 5000 }, (_, index) => `session-${index}`);

  it('never moves a session back to the baseline while the percentage rises', () => {
    const percentages = [0, 1, 5, 17, 25, 50, 99, 100];
    const moved = sessions.filter((session) => {
      const arms = percentages.map((percent) =>
        assignArm(createRollout({ steps: [percent] }), session),
      );
      const first = arms.indexOf('candidate');
      return first < 0 || arms.slice(first).includes('baseline');
    });
    assert.deepEqual(moved, []);
  });

  it('assigns the percentage of the step to the candidate', () => {
    const rollout = createRollout({ steps: [25] });
    const share =
      sessions.filter((session) => assignArm(rollout, session) === 'candidate').length /
      sessions.length;
    assert.ok(Math.abs(share - 0.25) < 0.02, `share: ${share}`);
  });

  it('selects different sessions per rollout, so that the tests reach different callers', () => {
    const pick = (name: string) =>
      new Set(
        sessions.filter(
          (session) => assignArm(createRollout({ name, steps: [10] }), session) === 'candidate',
        ),
      );
    const first = pick('first');
    const both = [...pick('second')].filter((session) => first.has(session));
    assert.ok(both.length < sessions.length * 0.02, `in both: ${both.length}`);
  });

  it('assigns new sessions to the baseline unless the rollout serves the candidate', () => {
    const full = { steps: [100] };
    const assign = (changes: Partial<Rollout>) =>
      assignArm(createRollout({ ...full, ...changes }), 'session');
    assert.equal(assign({}), 'candidate');
    assert.equal(assign({ phase: RolloutPhase.PAUSED }), 'candidate');
    assert.equal(assign({ phase: RolloutPhase.COMPLETED }), 'candidate');
    assert.equal(assign({ hold: true }), 'baseline');
    assert.equal(assign({ phase: RolloutPhase.LOADING }), 'baseline');
    assert.equal(assign({ phase: RolloutPhase.FAILED }), 'baseline');
    assert.equal(assign({ phase: RolloutPhase.ABORTED }), 'baseline');
    assert.equal(assign({ stepIndex: 7 }), 'baseline');
  });
});
