import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { formatSettingsProblem, parseSettings } from '@cactusstair/utils';
import { z } from 'zod';

const schema = z.strictObject({
  instance: z.strictObject({ id: z.string(), zone: z.string() }),
  permits: z.strictObject({ candidateMs: z.number().positive() }).optional(),
});

function findProblems(text: string): string[] {
  return parseSettings(text, 'node.yaml', schema).match(
    () => [],
    (problems) => problems.map(formatSettingsProblem),
  );
}

describe('parseSettings', () => {
  it('returns the typed settings of a valid file', () => {
    const result = parseSettings('instance: { id: a, zone: riga-a }\n', 'node.yaml', schema);
    assert.equal(result._unsafeUnwrap().instance.zone, 'riga-a');
  });

  describe('names file, line and key', () => {
    it('for an unknown key, which a typo would otherwise turn into a silent default', () => {
      const problems = findProblems('instance:\n  id: a\n  zone: riga-a\n  zoen: riga-b\n');
      assert.deepEqual(problems, ['node.yaml:4: instance.zoen: unknown key']);
    });

    it('for a value of the wrong type', () => {
      const [problem] = findProblems(
        'instance: { id: a, zone: riga-a }\npermits:\n  candidateMs: 10s\n',
      );
      assert.match(problem ?? '', /^node\.yaml:3: permits\.candidateMs: /);
    });

    it('for text that is not YAML', () => {
      const [problem] = findProblems('instance: { id: a\n');
      assert.match(problem ?? '', /^node\.yaml:\d+: /);
    });
  });
});
