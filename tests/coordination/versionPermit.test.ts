import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  checkVersionPermit,
  ConfigReplica,
  defaultVersionPermits as permits,
} from '@cactusstair/coordination';
import { VersionState } from '@cactusstair/protocol';
import { ManualClock } from '@cactusstair/utils';

import { clusterKey, createWorkspace } from './support.js';

const candidate = { state: VersionState.CANDIDATE };
const settled = { state: VersionState.SETTLED };

describe('checkVersionPermit', () => {
  it('gives no permit without a confirmation, so that an unready instance serves nothing', () => {
    const replica = new ConfigReplica({ clusterKey, clock: new ManualClock() });
    replica.applyObjects([createWorkspace('w', 1)], 1);
    for (const version of [candidate, settled]) {
      assert.equal(checkVersionPermit(version, replica.getConfirmedAgeMs(), permits), 'lapsed');
    }
    assert.equal(checkVersionPermit(settled, Number.NaN, permits), 'lapsed');
  });

  it('lapses after candidateMs for a candidate and after settledMs for a settled version', async () => {
    const clock = new ManualClock();
    const replica = new ConfigReplica({ clusterKey, clock });
    replica.confirm(clock.monotonicMs(), 0);
    const check = (version: typeof candidate | typeof settled) =>
      checkVersionPermit(version, replica.getConfirmedAgeMs(), permits);
    await clock.advance(permits.candidateMs - 1);
    assert.equal(check(candidate), 'permitted');
    await clock.advance(1);
    assert.equal(check(candidate), 'lapsed');
    assert.equal(check(settled), 'permitted');
    await clock.advance(permits.settledMs - permits.candidateMs);
    assert.equal(check(settled), 'lapsed');
  });

  it('refuses a withdrawn version even with a confirmation age of 0', () => {
    assert.equal(checkVersionPermit({ state: VersionState.WITHDRAWN }, 0, permits), 'withdrawn');
  });

  it('gives the candidate permit to an unspecified state and none to an unrecognized state', () => {
    const unspecified = { state: VersionState.UNSPECIFIED };
    assert.equal(checkVersionPermit(unspecified, permits.candidateMs, permits), 'lapsed');
    assert.equal(checkVersionPermit({ state: VersionState.UNRECOGNIZED }, 0, permits), 'lapsed');
  });
});
