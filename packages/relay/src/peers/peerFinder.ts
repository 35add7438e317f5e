import type { Clock } from '@cactusstair/utils';

import type { ChangeSource, WriteOutcome } from '../follow/changeSource.js';
import type { PeerRecord } from '../relayOptions.js';

/** Options of `findPeers`. */
export interface PeerFinderOptions {
  clock: Clock;
  self: PeerRecord;
  /** Writes the record of this instance to the store. */
  announce: (record: PeerRecord) => Promise<WriteOutcome>;
  source: Pick<ChangeSource<PeerRecord>, 'list'>;
  onPeer: (record: PeerRecord) => void;
}

const RETRY_MS = 1000;

/**
 * Registers this instance, then lists the others. Because each instance registers before it lists,
 * of two that start together at least one finds the other.
 */
export async function findPeers(options: PeerFinderOptions, signal: AbortSignal): Promise<void> {
  const { announce, clock, onPeer, self, source } = options;
  while (!signal.aborted) {
    const outcome = await announce(self);
    const listed = outcome === 'written' ? await source.list() : undefined;
    if (listed?.isOk()) {
      for (const { value } of listed.value.items) if (value) onPeer(value);
      return;
    }
    await clock.sleep(RETRY_MS * (0.5 + Math.random()), signal);
  }
}
