import type {
  ExchangeReply,
  ExchangeRequest,
  InstanceRecord,
  MemberRecord,
} from '@cactusstair/protocol';
import type { Clock, LifecycleManager, Random } from '@cactusstair/utils';

import { InstanceDirectory } from './instanceDirectory.js';
import type { Membership } from './membership.js';
import type { ObjectStore } from './objectStore.js';

/** Sends an exchange to a peer's address; rejects when the call fails or `signal` aborts. */
export type ExchangeTransport = (
  address: string,
  request: ExchangeRequest,
  signal: AbortSignal,
) => Promise<ExchangeReply>;

/** Options of `MembershipTask`. */
export interface MembershipTaskOptions {
  membership: Membership;
  exchange: ExchangeTransport;
  clock: Clock;
  random: Random;
  lifecycle: LifecycleManager;
  /** Addresses of peers from the settings; may include this instance's own. */
  seeds: readonly string[];
  /** Store of the `instance/{id}` objects. Without it only the seeds are used. */
  store?: ObjectStore;
  callersAddress?: string;
  operatorsAddress?: string;
  /** Time between two rounds in milliseconds. Default 1,000. */
  intervalMs?: number;
  /** Time after which an exchange counts as failed, in milliseconds. Default 800. */
  timeoutMs?: number;
}

const defaults = {
  callersAddress: '',
  operatorsAddress: '',
  intervalMs: 1000,
  timeoutMs: 800,
};

/** Rounds between two attempts to reach a lost member or a seed. */
const REJOIN_ROUNDS = 10;
const PUBLISH_INTERVAL_MS = 60_000;
/** Publications between two reads of the list, which has one object per instance. */
const PUBLICATIONS_PER_LIST = 10;
/** Peers of this zone that are notified before the instance stops. */
const MAX_LEAVE_EXCHANGES = 3;

/** Runs the exchanges of a `Membership` and publishes the instance in the object API. */
export class MembershipTask {
  private readonly options: MembershipTaskOptions & typeof defaults;

  private readonly directory: InstanceDirectory | undefined;

  private listedAddresses: string[] = [];

  private rounds = 0;

  private publishedAtMs = -Infinity;

  private publications = 0;

  private publishing: Promise<void> | undefined;

  constructor(options: MembershipTaskOptions) {
    this.options = { ...defaults, ...options };
    this.directory = options.store && new InstanceDirectory(options.store);
  }

  /** Starts the rounds. On close, peers and the object API are notified that this instance left. */
  start(): void {
    const { lifecycle, clock, intervalMs } = this.options;
    lifecycle.addCleanup('membership announcement', () => this.announceLeft());
    lifecycle.startTask('membership', async (signal) => {
      await this.listInstances();
      while (!signal.aborted) {
        // Exchanges that time out must not delay the next heartbeat.
        await Promise.all([this.runRound(), clock.sleep(intervalMs, signal)]);
      }
    });
  }

  /** Answers a peer's exchange. */
  handleExchange(request: ExchangeRequest): ExchangeReply {
    const { membership } = this.options;
    membership.applyExchange(request);
    const { sender, ...rest } = membership.createExchange(request.sender?.id ?? '');
    return { responder: sender, ...rest };
  }

  /**
   * Runs one round: exchanges with a peer of this zone and a contact of another zone. Without
   * either, and every `REJOIN_ROUNDS` rounds, it also tries a lost member and a seed.
   */
  async runRound(): Promise<void> {
    const { membership } = this.options;
    membership.tick();
    this.rounds += 1;
    const zonePeer = this.chooseRandom(membership.listZonePeers());
    const contact = membership.chooseContact();
    const exchanges = [zonePeer, contact]
      .filter((peer) => peer !== undefined)
      .map((peer) => this.runExchange(peer));
    const isAlone = exchanges.length === 0;
    if (isAlone || this.rounds % REJOIN_ROUNDS === 0) exchanges.push(this.rejoin());
    this.publishPeriodically();
    await Promise.all(exchanges);
  }

  private chooseRandom<T>(items: readonly T[]): T | undefined {
    return items.length > 0 ? items[this.options.random.nextInt(items.length)] : undefined;
  }

  /** Tries one lost member of this zone and one seed, so that partitions heal. */
  private async rejoin(): Promise<void> {
    const { membership, seeds } = this.options;
    const self = membership.getSelf();
    const lost = this.chooseRandom(membership.listLostPeers());
    const zonePeers = membership.listZonePeers();
    const knownAddresses = new Set(zonePeers.map((peer) => peer.peersAddress));
    const addresses = [...new Set([...seeds, ...this.listedAddresses])].filter(
      (address) => address !== self.peersAddress && !knownAddresses.has(address),
    );
    // On average one member of each zone tries a seed; more would overload the few seeds.
    const isChosen = this.options.random.nextInt(zonePeers.length + 1) === 0;
    const seed = isChosen ? this.chooseRandom(addresses) : undefined;
    await Promise.all([
      lost && this.runExchange(lost),
      seed === undefined ? undefined : this.runExchange({ id: '', peersAddress: seed }),
    ]);
    if (zonePeers.length === 0) await this.listInstances();
  }

  private async runExchange(peer: Pick<MemberRecord, 'id' | 'peersAddress'>): Promise<void> {
    const { membership, exchange, clock, timeoutMs } = this.options;
    const timeout = new AbortController();
    const finished = new AbortController();
    const expired = clock.sleep(timeoutMs, finished.signal).then(() => {
      if (!finished.signal.aborted) timeout.abort();
      return undefined;
    });
    try {
      const call = exchange(peer.peersAddress, membership.createExchange(peer.id), timeout.signal);
      const reply = await Promise.race([call, expired]);
      if (reply) membership.applyExchange(reply);
      else membership.recordExchangeFailure(peer.id);
    } catch {
      membership.recordExchangeFailure(peer.id);
    } finally {
      // An explicit abort reason avoids creating an error with a stack trace for each exchange.
      finished.abort('finished');
    }
  }

  private async listInstances(): Promise<void> {
    const { id, zone } = this.options.membership.getSelf();
    const listed = (await this.directory?.listInstances()) ?? [];
    const others = listed.filter((record) => record.id !== id);
    // Peers of this zone are preferred because they know its members.
    const sameZone = others.filter((record) => record.zone === zone);
    const chosen = sameZone.length > 0 ? sameZone : others;
    this.listedAddresses = chosen.map((record) => record.peersAddress);
  }

  private publishPeriodically(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (!this.directory || this.publishing) return;
    if (nowMs - this.publishedAtMs < PUBLISH_INTERVAL_MS) return;
    this.publishedAtMs = nowMs;
    // The object API may be slow; the exchanges do not wait for it.
    this.publishing = this.publish(this.directory).finally(() => {
      this.publishing = undefined;
    });
  }

  private async publish(directory: InstanceDirectory): Promise<void> {
    await directory.publish(this.createRecord(false));
    this.publications += 1;
    if (this.publications % PUBLICATIONS_PER_LIST === 0) await this.listInstances();
  }

  private async announceLeft(): Promise<void> {
    const { membership } = this.options;
    membership.finishLeaving();
    const peers = membership.listZonePeers();
    const announcements: Promise<void>[] = [];
    while (announcements.length < MAX_LEAVE_EXCHANGES && peers.length > 0) {
      const [peer] = peers.splice(this.options.random.nextInt(peers.length), 1);
      if (peer) announcements.push(this.runExchange(peer));
    }
    await Promise.all([...announcements, this.publishing]);
    await this.directory?.publish(this.createRecord(true));
  }

  private createRecord(leaving: boolean): InstanceRecord {
    const { callersAddress, operatorsAddress, membership } = this.options;
    const { id, incarnation, region, zone, peersAddress } = membership.getSelf();
    return {
      id,
      incarnation,
      region,
      zone,
      callersAddress,
      operatorsAddress,
      peersAddress,
      leaving,
    };
  }
}
