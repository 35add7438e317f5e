import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CrashAttribution, CrashFeed } from '@cactusstair/routing';
import { ManualClock } from '@cactusstair/utils';

/** Size of what one message can carry, in bytes. */
const MESSAGE_BYTES = 2000;
const MESSAGE_COUNT = 20;
const TRAIT_COUNT = 300;

describe('CrashFeed', () => {
  it('gets the suspects of a busy upstream across in messages that hold few of them', () => {
    const clock = new ManualClock();
    const sender = new CrashAttribution({ clock });
    const receiver = new CrashAttribution({ clock });
    const feed = new CrashFeed(sender);
    const traits = Array.from({ length: TRAIT_COUNT }, (_, index) => `trait ${index}`);
    for (const trait of traits) sender.startRun('upstream', [trait], () => {});
    sender.recordCrash('upstream');
    for (let count = 0; count < MESSAGE_COUNT; count += 1) {
      let bytesLeft = MESSAGE_BYTES;
      const fitting = feed.exportReports().filter((report) => {
        bytesLeft -= JSON.stringify(report).length;
        return bytesLeft >= 0;
      });
      receiver.importReports(fitting);
    }
    const received = receiver.exportReports('all').flatMap(({ suspects }) => suspects);
    assert.deepEqual(received.sort(), traits.sort());
    assert.equal(receiver.size, 1);
  });
});
