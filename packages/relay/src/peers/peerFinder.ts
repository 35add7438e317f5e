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
  /** Called when the records of all instances have been passed on. */
  onListed?: () => void;
}

/** Options of `followPeers`. */
export interface PeerFollowerOptions extends PeerFinderOptions {
  /** Returns the newest era of the store; undefined if it names none. */
  getStoreEra: () => number | undefined;
}

const RETRY_MS = 1000;
const ERA_CHECK_INTERVAL_MS = 500;
/** The instances register again within this time, so that not all write at once. */
const MAX_RESTORE_DELAY_MS = 1000;

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
      options.onListed?.();
      return;
    }
    await clock.sleep(RETRY_MS * (0.5 + Math.random()), signal);
  }
}

/** Finds the peers, and registers this instance again whenever the store was restored. */
export async function followPeers(
  options: PeerFollowerOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, getStoreEra } = options;
  while (!signal.aborted) {
    await findPeers(options, signal);
    const era = getStoreEra();
    while (!signal.aborted && getStoreEra() === era) {
      await clock.sleep(ERA_CHECK_INTERVAL_MS, signal);
    }
    await clock.sleep(MAX_RESTORE_DELAY_MS * Math.random(), signal);
  }
}
