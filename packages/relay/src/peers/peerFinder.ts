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
  /** Called after each list of the instances. */
  onListed?: () => void;
  /** Whether to list the instances again, because there are some whose names are not known. */
  shouldListAgain?: () => boolean;
}

/** Options of `followPeers`. */
export interface PeerFollowerOptions extends PeerFinderOptions {
  /** Returns the newest era of the store; undefined if it names none. */
  getStoreEra: () => number | undefined;
}

const RETRY_MS = 1000;
const MIN_RELIST_MS = 5000;
const MAX_RELIST_MS = 60_000;
const ERA_CHECK_INTERVAL_MS = 500;
/** The instances register again within this time, so that not all write at once. */
const MAX_RESTORE_DELAY_MS = 1000;

/**
 * Registers this instance, then lists the others. Because each instance registers before it lists,
 * of two that start together at least one finds the other. Lists them again, at growing intervals,
 * while `shouldListAgain` says so.
 */
export async function findPeers(options: PeerFinderOptions, signal: AbortSignal): Promise<void> {
  await registerAndList(options, signal);
  if (options.shouldListAgain) await keepListing(options, signal);
}

/** Finds the peers, and registers this instance again whenever the store was restored. */
export async function followPeers(
  options: PeerFollowerOptions,
  signal: AbortSignal,
): Promise<void> {
  const { clock, getStoreEra } = options;
  while (!signal.aborted) {
    await registerAndList(options, signal);
    const era = getStoreEra();
    const restored = new AbortController();
    const listing = keepListing(options, AbortSignal.any([signal, restored.signal]));
    while (!signal.aborted && getStoreEra() === era) {
      await clock.sleep(ERA_CHECK_INTERVAL_MS, signal);
    }
    restored.abort();
    await listing;
    await clock.sleep(MAX_RESTORE_DELAY_MS * Math.random(), signal);
  }
}

async function registerAndList(options: PeerFinderOptions, signal: AbortSignal): Promise<void> {
  const { announce, clock, self } = options;
  while (!signal.aborted) {
    const outcome = await announce(self);
    if (outcome === 'written' && (await listPeers(options))) return;
    await clock.sleep(RETRY_MS * (0.5 + Math.random()), signal);
  }
}

async function keepListing(options: PeerFinderOptions, signal: AbortSignal): Promise<void> {
  const { clock, shouldListAgain } = options;
  let pauseMs = MIN_RELIST_MS;
  while (shouldListAgain && !signal.aborted) {
    await clock.sleep(pauseMs * (0.5 + Math.random()), signal);
    if (signal.aborted || !shouldListAgain()) continue;
    await listPeers(options);
    pauseMs = Math.min(pauseMs * 2, MAX_RELIST_MS);
  }
}

async function listPeers({ onListed, onPeer, source }: PeerFinderOptions): Promise<boolean> {
  const listed = await source.list();
  if (listed.isErr()) return false;
  for (const { value } of listed.value.items) if (value) onPeer(value);
  onListed?.();
  return true;
}
