import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { ByteCollector } from '@cactusstair/utils';

const SEED = 20261205;

describe('ByteCollector', () => {
  it('returns the bytes of all chunks in order', () => {
    const chunks = fc.array(fc.uint8Array({ maxLength: 5000 }), { maxLength: 40 });
    fc.assert(
      fc.property(chunks, (parts) => {
        const collector = new ByteCollector();
        parts.forEach((part) => collector.append(Buffer.from(part)));
        const expected = Buffer.concat(parts);
        assert.equal(collector.length, expected.length);
        assert.ok(Buffer.concat(collector.takeBuffers()).equals(expected));
        assert.equal(collector.length, 0);
        parts.forEach((part) => collector.append(Buffer.from(part)));
        assert.ok(collector.takeBuffer().equals(expected));
      }),
      { seed: SEED },
    );
  });

  it('refuses a chunk that exceeds its limit, and keeps what it has', () => {
    const collector = new ByteCollector(4);
    assert.equal(collector.append(Buffer.from('abc')), true);
    assert.equal(collector.append(Buffer.from('de')), false);
    assert.equal(collector.append(Buffer.from('d')), true);
    assert.equal(collector.takeBuffer().toString(), 'abcd');
  });

  it('copies chunks, so that it keeps no buffer of the reader', () => {
    const collector = new ByteCollector();
    const chunk = Buffer.from('ab');
    collector.append(chunk);
    chunk.fill('x');
    assert.equal(collector.takeBuffer().toString(), 'ab');
  });

  it('takes little more memory than the bytes of many small chunks', () => {
    const collector = new ByteCollector();
    const chunkCount = 300_000;
    for (let count = 0; count < chunkCount; count += 1) collector.append(Buffer.alloc(1));
    const buffers = collector.takeBuffers();
    const capacity = buffers.reduce((sum, { buffer }) => sum + buffer.byteLength, 0);
    assert.ok(capacity <= chunkCount + 64 * 1024, `${capacity} bytes`);
    assert.ok(buffers.length < 20, `${buffers.length} buffers`);
  });
});
