import type { Clock } from '@cactusstair/utils';

import type { StoreEra } from '../follow/storeHistory.js';
import type { RelayConfig } from './relayConfig.js';

/** Options of `RestoredConfig`. */
export interface RestoredConfigOptions {
  clock: Clock;
  /** Returns the version in force; undefined before the first. */
  getVersion: () => number | undefined;
  getStoreEra: () => StoreEra | undefined;
  /** Whether the instances are known, and each of them has been heard from. */
  hasHeardAll: () => boolean;
  /** Puts a configuration in force unless a newer one is. */
  apply: (config: RelayConfig) => void;
}

/** What a peer says about its configuration. */
interface PeerConfig {
  /** Undefined while the peer has none. */
  version: number | undefined;
  /** Time of the restore that the peer has seen, on the monotonic clock; -Infinity without one. */
  restoredAtMs: number;
  heardAtMs: number;
}

/**
 * Time after a restore for which a version that a peer has in force outranks that of the store. The
 * operators write again what the store has lost; after this time its state counts as intended.
 */
const RESTORE_FRESH_MS = 60_000;
/** Peers send several messages a second; without any for this long they are taken for lost. */
const PEER_LOST_MS = 3000;
/** Longest time for which an instance that starts waits for its peers. */
const FIRST_WAIT_MS = 1000;
/**
 * A newer version that is heard of this soon after the first one was in force when this instance
 * started, so that the first one should not have been applied.
 */
const START_MS = 3000;
const CHECK_INTERVAL_MS = 50;

/**
 * Keeps a configuration out of force that was restored with an older copy of the store while another
 * instance has a newer one in force, so that a withdrawn key does not come back with a restart.
 */
export class RestoredConfig {
  private readonly peers = new Map<string, PeerConfig>();

  private held: RelayConfig | undefined;

  private firstOfferedAtMs: number | undefined;

  private firstAppliedAtMs = -Infinity;

  private behindSinceMs: number | undefined;

  constructor(private readonly options: RestoredConfigOptions) {}

  /** Applies a configuration that was read from the store, at once or when nothing speaks against it. */
  offer(config: RelayConfig): void {
    this.firstOfferedAtMs ??= this.options.clock.monotonicMs();
    if (this.held && this.held.version > config.version) return;
    this.held = config;
    this.release();
  }

  /** Records the version that a peer has in force and the era that it has seen. */
  recordPeer(name: string, version: number | undefined, store: StoreEra | undefined): void {
    const heardAtMs = this.options.clock.monotonicMs();
    const restoredAtMs = heardAtMs - (store?.[1] ?? Infinity);
    this.peers.set(name, { version, restoredAtMs, heardAtMs });
    this.release();
    this.updateBehind();
  }

  /**
   * Returns for how long a newer version has been known to be in force at a peer, in milliseconds:
   * Infinity if that was so when this instance started, 0 if there is none or no recent restore.
   */
  getBehindMs(): number {
    this.updateBehind();
    if (this.behindSinceMs === undefined) return 0;
    if (this.behindSinceMs - this.firstAppliedAtMs < START_MS) return Infinity;
    return this.options.clock.monotonicMs() - this.behindSinceMs;
  }

  /** Looks after a configuration that is held back until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
      this.release();
    }
  }

  private release(): void {
    const { held, options } = this;
    if (!held || this.isAwaitingPeers() || this.isOutranked(held.version)) return;
    this.held = undefined;
    const isFirst = options.getVersion() === undefined;
    options.apply(held);
    if (isFirst) this.firstAppliedAtMs = options.clock.monotonicMs();
  }

  /** Whether an instance that starts has yet to learn what its peers have in force. */
  private isAwaitingPeers(): boolean {
    const { clock, getStoreEra, getVersion, hasHeardAll } = this.options;
    if (getVersion() !== undefined || getStoreEra() === undefined) return false;
    const waitedMs = clock.monotonicMs() - (this.firstOfferedAtMs ?? -Infinity);
    return waitedMs < FIRST_WAIT_MS && this.getPeerVersion() === undefined && !hasHeardAll();
  }

  private updateBehind(): void {
    const version = this.options.getVersion();
    if (version === undefined || !this.isOutranked(version)) this.behindSinceMs = undefined;
    else this.behindSinceMs ??= this.options.clock.monotonicMs();
  }

  /** Whether a live peer has a newer version in force and the store was restored lately. */
  private isOutranked(version: number): boolean {
    return (this.getPeerVersion() ?? -Infinity) > version && this.isRestoreFresh();
  }

  private isRestoreFresh(): boolean {
    const ownAgeMs = this.options.getStoreEra()?.[1] ?? Infinity;
    const nowMs = this.options.clock.monotonicMs();
    const ages = this.listLivePeers().map(({ restoredAtMs }) => nowMs - restoredAtMs);
    return Math.min(ownAgeMs, ...ages) < RESTORE_FRESH_MS;
  }

  /** Returns the newest version that a live peer has in force. */
  private getPeerVersion(): number | undefined {
    const versions = this.listLivePeers().flatMap(({ version }) => version ?? []);
    return versions.length > 0 ? Math.max(...versions) : undefined;
  }

  private listLivePeers(): PeerConfig[] {
    const nowMs = this.options.clock.monotonicMs();
    for (const [name, { heardAtMs }] of this.peers) {
      if (nowMs - heardAtMs >= PEER_LOST_MS) this.peers.delete(name);
    }
    return [...this.peers.values()];
  }
}
