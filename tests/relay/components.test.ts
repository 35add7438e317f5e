import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { EventLog, EventSplitter } from '@cactusstair/relay';

describe('EventSplitter', () => {
  const events =
    'x-weight-versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n';

  it('returns the same events regardless of chunk boundaries', () => {
    for (let size = 1; size <= events.length; size += 1) {
      const splitter = new EventSplitter();
      const found = [];
      for (let at = 0; at < events.length; at += size) {
        found.push(...splitter.split(Buffer.from(events.slice(at, at + size)))._unsafeUnwrap());
      }
      assert.deepEqual(
        found.map(({ id }) => id),
        ['1', '2', '3'],
        `pieces of ${size}`,
      );
      assert.equal(found.map(({ bytes }) => bytes.toString()).join(''), events);
      assert.equal(splitter.hasPartialEvent, false);
    }
  });

  it('buffers an incomplete event', () => {
    const splitter = new EventSplitter();
    assert.deepEqual(splitter.split(Buffer.from('id: 1\ndata: a\n'))._unsafeUnwrap(), []);
    assert.equal(splitter.hasPartialEvent, true);
  });

  it('refuses an event that exceeds the size limit', () => {
    const splitter = new EventSplitter();
    assert.equal(splitter.split(Buffer.alloc(2 * 1024 * 1024, 'x')).isErr(), true);
  });

  describe('comments and blank lines', () => {
    it('are passed on with the event that follows', () => {
      const splitter = new EventSplitter();
      const text = '\n: comment\n\nretry: 5\n\nid: 1\ndata: a\n\n';
      const found = splitter.split(Buffer.from(text))._unsafeUnwrap();
      assert.deepEqual(
        found.map(({ id, bytes }) => [id, bytes.toString()]),
        [['1', text]],
      );
    });

    it('at the end are no partial event', () => {
      const splitter = new EventSplitter();
      splitter.split(Buffer.from('id: 1\ndata: a\n\n: done\n\n'));
      assert.equal(splitter.hasPartialEvent, false);
      assert.equal(splitter.trailingBytes.toString(), ': done\n\n');
    });

    it('without an event count toward the size limit', () => {
      const splitter = new EventSplitter();
      const comments = Buffer.from(': x\n\n'.repeat(1000));
      let result = splitter.split(comments);
      for (let count = 0; count < 100 && result.isOk(); count += 1)
        result = splitter.split(comments);
      assert.equal(result.isErr(), true);
    });
  });

  it('takes time proportional to the length of an event that arrives in single bytes', () => {
    const splitter = new EventSplitter();
    splitter.split(Buffer.from('data: '));
    let copied = 0;
    const copy = Buffer.prototype.copy;
    Buffer.prototype.copy = function count(this: Buffer, ...args: Parameters<typeof copy>) {
      const bytes = copy.apply(this, args);
      copied += bytes;
      return bytes;
    };
    try {
      for (let count = 0; count < 200_000; count += 1) splitter.split(Buffer.from('x'));
    } finally {
      Buffer.prototype.copy = copy;
    }
    assert.ok(copied < 4 * 200_000, `${copied} bytes were copied`);
  });
});

describe('EventLog', () => {
  /** Creates a sink that signals backpressure from write number `acceptedWrites` on. */
  function createSink(acceptedWrites: number) {
    const texts: string[] = [];
    let drain: (() => void) | undefined;
    return {
      texts,
      release: () => drain?.(),
      write: (text: string) => {
        texts.push(text);
        return texts.length < acceptedWrites;
      },
      once: (_event: 'drain', listener: () => void) => {
        drain = listener;
      },
    };
  }

  it('bounds the bytes pending for a stalled reader and reports dropped lines', () => {
    const sink = createSink(1);
    const log = new EventLog({ fields: {}, sink, maxPendingBytes: 10_000 });
    log.write('first');
    log.flush();
    for (let index = 0; index < 1000; index += 1) log.write('line', { text: 'x'.repeat(100) });
    log.flush();
    assert.equal(sink.texts.length, 1);
    assert.ok(log.dropped > 900);
    sink.release();
    log.flush();
    const lines = sink.texts.join('').trim().split('\n');
    assert.ok(sink.texts.join('').length < 12_000);
    // One extra line reports the number of dropped lines.
    assert.equal(lines.length + log.dropped, 1 + 1000 + 1);
    assert.ok(lines.some((line) => line.includes('"event":"log_lines_dropped"')));
    for (const line of lines) JSON.parse(line);
  });

  it('writes lines in order', () => {
    const sink = createSink(100);
    const log = new EventLog({ fields: { instance: 'a' }, sink, wallMs: () => 5 });
    log.write('one', { n: 1 });
    log.write('two');
    log.flush();
    assert.equal(
      sink.texts.join(''),
      '{"atMs":5,"event":"one","instance":"a","n":1}\n{"atMs":5,"event":"two","instance":"a"}\n',
    );
  });
});
