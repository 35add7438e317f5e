import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';

import type { PromptPart } from '@cactusstair/relay';
import { MAX_PROMPT_PARTS, ModelNames, OTHER_MODELS, selectPromptParts } from '@cactusstair/relay';
import { CrashAttribution } from '@cactusstair/routing';
import { createClientKey, ManualClock, MAX_CLIENT_KEY_LENGTH } from '@cactusstair/utils';

const LONG_ID = 'e4402b7d'.repeat(16);

describe('createClientKey', () => {
  it('keeps texts of up to 64 characters', () => {
    for (const text of ['', 'session-1', 'x'.repeat(MAX_CLIENT_KEY_LENGTH)]) {
      assert.equal(createClientKey(text), text);
    }
  });

  it('bounds longer texts, and tells them apart', () => {
    const texts = [`${'x'.repeat(14_000)}1`, `${'x'.repeat(14_000)}2`, 'x'.repeat(65)];
    const keys = texts.map(createClientKey);
    assert.equal(new Set(keys).size, texts.length);
    for (const key of keys) assert.ok(key.length <= MAX_CLIENT_KEY_LENGTH);
    assert.deepEqual(texts.map(createClientKey), keys);
  });
});

describe('selectPromptParts', () => {
  const createParts = (count: number): PromptPart[] =>
    Array.from({ length: count }, (_, index) => ({ id: `part-${index}`, tokens: 10 }));

  it('keeps prompts with few parts as they are', () => {
    for (const count of [0, 1, MAX_PROMPT_PARTS]) {
      assert.deepEqual(selectPromptParts(createParts(count)), createParts(count));
    }
  });

  it('takes the first parts of longer ones, and the last for all others', () => {
    const parts = selectPromptParts(createParts(7500));
    assert.equal(parts.length, MAX_PROMPT_PARTS);
    assert.deepEqual(parts.slice(0, -1), createParts(MAX_PROMPT_PARTS - 1));
    assert.equal(parts.at(-1)?.id, 'part-7499');
    assert.equal(
      parts.reduce((sum, { tokens }) => sum + tokens, 0),
      75_000,
    );
  });
});

describe('ModelNames', () => {
  let names: ModelNames;

  beforeEach(() => {
    names = new ModelNames();
  });

  it('tells apart the models that the configuration lists, and takes all others for one', () => {
    const listed = ['small', 'large'];
    assert.equal(names.resolve('large', listed), 'large');
    for (const model of ['other', 'x'.repeat(14_000)]) {
      assert.equal(names.resolve(model, listed), OTHER_MODELS);
    }
  });

  // Who loses by it: a model that is new after callers have named many others is still served.
  it('tells apart a bounded number of models if the configuration lists none', () => {
    const resolved = Array.from({ length: 1000 }, (_, index) => names.resolve(`m${index}`, []));
    assert.ok(new Set(resolved).size <= 17);
    assert.equal(names.resolve('m0', []), 'm0');
    assert.equal(names.resolve('m999', []), OTHER_MODELS);
  });
});

describe('crash reports', () => {
  // Reports with a longer trait were dropped by peers, each of which let the part crash upstreams anew.
  it('are accepted by peers, however long the id of the prompt part is', async () => {
    const clock = new ManualClock();
    const create = () => new CrashAttribution({ clock });
    const [reporter, peer] = [create(), create()];
    await clock.advance(10_000);
    const parts = selectPromptParts([
      { id: LONG_ID, tokens: 10 },
      { id: 'own', tokens: 10 },
    ]);
    const traits = [parts[0]!.id];
    for (const upstream of ['a', 'b', 'c']) {
      reporter.startRun(upstream, traits, () => {});
      reporter.recordCrash(upstream);
    }
    peer.importReports(reporter.exportReports('own'));
    assert.equal(peer.admit(traits), 'refused');
  });
});
