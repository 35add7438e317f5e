import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { CascadePolicy } from '@cactusstair/routing';

import { createPolicy, createRequest, recordRatings } from './cascadeFixture.js';

describe('CascadePolicy', () => {
  describe('shared evidence', () => {
    function createSource(incarnation = 1, count = 50): CascadePolicy {
      const { policy } = createPolicy({ instance: 'b', incarnation });
      recordRatings(policy, 0, 90, { count });
      return policy;
    }

    const countStarts = (policy: CascadePolicy) =>
      Array.from({ length: 300 }, () => policy.chooseStart(createRequest()).rung).filter(
        (rung) => rung === 0,
      ).length;

    it('ignores repeated imports of the same export', () => {
      const evidence = createSource().exportEvidence();
      const [once, twice] = [1, 5].map((times) => {
        const { policy } = createPolicy({ explorationShare: 0 });
        for (let time = 0; time < times; time += 1) policy.importEvidence(evidence);
        return countStarts(policy);
      });
      assert.equal(once, twice);
    });

    it('does not lose counts when an older export arrives after a newer one', () => {
      const source = createSource();
      const earlier = source.exportEvidence();
      recordRatings(source, 0, 100, { count: 100 });
      const later = source.exportEvidence();
      const [forward, backward] = [
        [earlier, later],
        [later, earlier],
      ].map((exports) => {
        const { policy } = createPolicy({ explorationShare: 0 });
        exports.forEach((evidence) => policy.importEvidence(evidence));
        return countStarts(policy);
      });
      assert.equal(forward, backward);
    });

    it('counts the ratings of both incarnations of a restarted instance', () => {
      const counts = [[1], [2], [1, 2]].map((incarnations) => {
        const { policy } = createPolicy({ explorationShare: 0 });
        recordRatings(policy, 2, 100);
        incarnations.forEach((incarnation) => {
          const { policy: source } = createPolicy({ instance: 'b', incarnation });
          recordRatings(source, 0, 95, { count: 25 });
          policy.importEvidence(source.exportEvidence());
        });
        return countStarts(policy);
      });
      // The ratings of one incarnation do not prove the rung; those of both together do.
      assert.ok((counts[0] ?? 0) < 300 && (counts[1] ?? 0) < 300, `starts: ${counts}`);
      assert.equal(counts[2], 300);
    });

    it('does not export imported evidence, which other instances would count twice', () => {
      const { policy } = createPolicy();
      policy.importEvidence(createSource().exportEvidence());
      assert.deepEqual(policy.exportEvidence().cells, []);
    });

    it('ignores malformed counters', () => {
      const { policy } = createPolicy();
      const evidence = createSource().exportEvidence();
      const broken = evidence.cells.map((cell) => ({ ...cell, counts: [Number.NaN, 1] }));
      policy.importEvidence({ ...evidence, cells: broken });
      assert.equal(
        policy.shouldEscalate({
          ...createRequest(),
          rung: 0,
          rating: undefined,
          remainingMs: 5000,
        }),
        true,
      );
    });
  });
});
