import type { ConfigReplica, Membership, ObjectStore } from '@cactusstair/coordination';
import { PeerFollower, StoreFollower } from '@cactusstair/coordination';
import { MemberStatus } from '@cactusstair/protocol';
import type { Clock, Logger, Random } from '@cactusstair/utils';

import type { AddressBook } from './addressBook.js';
import type { PeerClients } from './peerClients.js';

/** Options of `ConfigFeed`. */
export interface ConfigFeedOptions {
  replica: ConfigReplica;
  store: ObjectStore;
  membership: Membership;
  peerClients: PeerClients;
  addresses: AddressBook;
  /** Peer addresses to ask before any peer is known. */
  seeds: readonly string[];
  clock: Clock;
  random: Random;
  logger: Logger;
}

const CHECK_INTERVAL_MS = 500;

/** A watcher also asks its peers if its configuration has not been confirmed for this long. */
const PEER_FALLBACK_MS = 3000;

/** Other instances watch the store if no peer has confirmed their configuration for this long. */
const STORE_FALLBACK_MS = 6000;

type Source = 'store' | 'peers';

/**
 * Keeps the configuration replica current.
 *
 * Two instances per zone watch the object API, because every open watch counts as a call there; the
 * other instances poll these two. If one source fails, the instance uses the other one too.
 */
export class ConfigFeed {
  private readonly running = new Map<Source, AbortController>();

  constructor(private readonly options: ConfigFeedOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const source of ['store', 'peers'] as const) {
        if (this.isNeeded(source)) this.start(source);
        else this.stop(source);
      }
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
    this.stop('store');
    this.stop('peers');
  }

  private isNeeded(source: Source): boolean {
    const { membership, replica } = this.options;
    const { id, zone } = membership.getSelf();
    const watching = membership.getWatchers(zone).includes(id);
    const ageMs = replica.getConfirmedAgeMs();
    return source === 'store'
      ? watching || ageMs > STORE_FALLBACK_MS
      : !watching || ageMs > PEER_FALLBACK_MS;
  }

  private start(source: Source): void {
    if (this.running.has(source)) return;
    const controller = new AbortController();
    this.running.set(source, controller);
    this.createFollower(source)
      .run(controller.signal)
      .catch((error: unknown) => {
        this.options.logger.error('configuration follower failed', {
          source,
          error: String(error),
        });
      })
      .finally(() => {
        if (this.running.get(source) === controller) this.running.delete(source);
      });
  }

  private stop(source: Source): void {
    this.running.get(source)?.abort();
    this.running.delete(source);
  }

  private createFollower(source: Source): StoreFollower | PeerFollower {
    const { replica, store, peerClients, clock, random, logger } = this.options;
    if (source === 'peers') {
      return new PeerFollower({
        replica,
        clock,
        random,
        getPeers: () => this.listPeers(),
        fetchConfig: (address, request) => peerClients.fetchConfig(address, request),
        onProblem: (peer, problem) =>
          logger.debug('peer did not deliver the configuration', { peer, problem }),
      });
    }
    return new StoreFollower({
      replica,
      store,
      clock,
      random,
      onStateChange: (state, reason) =>
        logger.info('configuration watch changed state', { state, reason }),
    });
  }

  /** Lists the addresses of the zone's watchers; without any, those of all peers, or the seeds. */
  private listPeers(): readonly string[] {
    const { membership, addresses, seeds } = this.options;
    const self = membership.getSelf();
    const others = membership
      .getMembers()
      .filter(({ id, status }) => id !== self.id && status === MemberStatus.ALIVE);
    const watchers = membership.getWatchers(self.zone);
    const preferred = others.filter(({ id }) => watchers.includes(id));
    // Without another watcher in the zone, instances of all zones are asked.
    const peers = preferred.length > 0 ? preferred : addresses.listOthers();
    return peers.length > 0 ? peers.map((peer) => peer.peersAddress) : seeds;
  }
}
