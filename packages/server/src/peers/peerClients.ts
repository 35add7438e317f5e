import type { BillCopier } from '@cactusstair/coordination';
import type {
  AwaitClaimReply,
  AwaitClaimRequest,
  Bill,
  CascadeEvidence,
  ConfigDelta,
  ExchangeReply,
  ExchangeRequest,
  FetchConfigRequest,
  VersionStatsList,
} from '@cactusstair/protocol';
import { callUnary, PeerClient } from '@cactusstair/protocol';
import type { Random } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { ChannelCredentials, ServiceError } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

import type { AddressBook, PeerAddress } from './addressBook.js';

/** Options of `PeerClients`. */
export interface PeerClientsOptions {
  /** Zone of this instance. */
  zone: string;
  getAddressBook: () => AddressBook;
  credentials: ChannelCredentials;
  random: Random;
}

const EXCHANGE_TIMEOUT_MS = 1000;
const COPY_TIMEOUT_MS = 500;
const LONG_POLL_MARGIN_MS = 1000;
const UNAVAILABLE_RETRY_MS = 2000;
const UNAVAILABLE_RETRY_INTERVAL_MS = 200;
const MAX_COPY_ATTEMPTS = 3;

/** gRPC clients of the other instances, one per address, created at the first call. */
export class PeerClients implements BillCopier {
  private readonly clients = new Map<string, PeerClient>();

  constructor(private readonly options: PeerClientsOptions) {}

  exchange(address: string, request: ExchangeRequest): Promise<ExchangeReply> {
    const client = this.getClient(address);
    return callUnary(client, client.exchange, request, EXCHANGE_TIMEOUT_MS);
  }

  fetchConfig(address: string, request: FetchConfigRequest): Promise<ConfigDelta> {
    const client = this.getClient(address);
    return callUnary(client, client.fetchConfig, request, request.waitMs + LONG_POLL_MARGIN_MS);
  }

  getVersionStats(address: string): Promise<VersionStatsList> {
    const client = this.getClient(address);
    return callUnary(client, client.getVersionStats, {}, EXCHANGE_TIMEOUT_MS);
  }

  getCascadeEvidence(address: string): Promise<CascadeEvidence> {
    const client = this.getClient(address);
    return callUnary(client, client.getCascadeEvidence, {}, EXCHANGE_TIMEOUT_MS);
  }

  /** Asks the owner of a claim for its outcome; returns undefined if the owner does not answer. */
  async awaitClaim(
    owner: string,
    request: AwaitClaimRequest,
  ): Promise<AwaitClaimReply | undefined> {
    const peer = await this.options.getAddressBook().locate(owner);
    if (!peer) return undefined;
    const client = this.getClient(peer.peersAddress);
    const timeoutMs = request.waitMs + LONG_POLL_MARGIN_MS;
    const retryUntilMs = performance.now() + UNAVAILABLE_RETRY_MS;
    for (;;) {
      try {
        return await callUnary(client, client.awaitClaim, request, timeoutMs);
      } catch (error) {
        // After a failed connection, for example to an instance that had not started yet, a channel
        // fails its calls immediately for up to 1 s.
        const isUnavailable = (error as ServiceError).code === status.UNAVAILABLE;
        if (!isUnavailable || performance.now() >= retryUntilMs) return undefined;
        await systemClock.sleep(UNAVAILABLE_RETRY_INTERVAL_MS);
      }
    }
  }

  /** Copies bills to one other instance, in another zone if possible. */
  async copy(bills: Bill[]): Promise<boolean> {
    for (const peer of this.listCopyTargets().slice(0, MAX_COPY_ATTEMPTS)) {
      try {
        const client = this.getClient(peer.peersAddress);
        const reply = await callUnary(client, client.copyBills, { bills }, COPY_TIMEOUT_MS);
        if (reply.held) return true;
      } catch {
        // The next instance is tried.
      }
    }
    return false;
  }

  /**
   * Lets all other instances drop their copies of bills that are now stored. If a message is lost,
   * its receiver keeps the copies in memory until it adopts them.
   */
  release(origin: string, incarnation: number, upToSequence: number): void {
    for (const peer of this.listOthers()) {
      const client = this.getClient(peer.peersAddress);
      const request = { origin, incarnation, upToSequence };
      callUnary(client, client.releaseBills, request, EXCHANGE_TIMEOUT_MS).catch(() => {});
    }
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  private getClient(address: string): PeerClient {
    let client = this.clients.get(address);
    if (!client) {
      client = new PeerClient(address, this.options.credentials, {
        // Bounds the time until a restarted instance is reached again.
        'grpc.max_reconnect_backoff_ms': 1000,
        'grpc.keepalive_time_ms': 10_000,
        'grpc.keepalive_timeout_ms': 2000,
      });
      this.clients.set(address, client);
    }
    return client;
  }

  private listOthers(): PeerAddress[] {
    return this.options.getAddressBook().listOthers();
  }

  /** Lists other instances in random order, those of other zones first. */
  private listCopyTargets(): PeerAddress[] {
    return this.listOthers()
      .map((peer) => ({
        peer,
        rank: (peer.zone === this.options.zone ? 1 : 0) + this.options.random.next(),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ peer }) => peer);
  }
}
