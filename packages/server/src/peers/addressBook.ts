import type { Membership, ObjectStore } from '@cactusstair/coordination';
import { InstanceDirectory } from '@cactusstair/coordination';
import type { InstanceRecord } from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';

/** Address at which an instance serves calls of its peers. */
export interface PeerAddress {
  id: string;
  zone: string;
  peersAddress: string;
}

/** Options of `AddressBook`. */
export interface AddressBookOptions {
  membership: Membership;
  store: ObjectStore;
  /** Peer addresses to use before any instance is known. */
  seeds: readonly string[];
  clock: Clock;
}

const LIST_INTERVAL_MS = 60_000;
const RETRY_INTERVAL_MS = 3000;
const LOCATE_TIMEOUT_MS = 3000;
const LOCATE_INTERVAL_MS = 300;

/**
 * The addresses of the other instances.
 *
 * The membership lists all instances of the own zone and a few contacts in each other zone. All
 * other addresses come from the instance records in the object API, which may be out of date.
 */
export class AddressBook {
  private listed: InstanceRecord[] = [];

  private readonly directory: InstanceDirectory;

  constructor(private readonly options: AddressBookOptions) {
    this.directory = new InstanceDirectory(options.store);
  }

  /** Reads the records at intervals until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readRecords();
      const intervalMs = this.listed.length > 1 ? LIST_INTERVAL_MS : RETRY_INTERVAL_MS;
      await this.options.clock.sleep(intervalMs, signal);
    }
  }

  /**
   * Finds an instance, and rereads the records until it is listed or the timeout has passed. An
   * instance serves requests before its record is written and before its first exchange with peers.
   */
  async locate(id: string): Promise<PeerAddress | undefined> {
    const { clock } = this.options;
    const deadlineMs = clock.monotonicMs() + LOCATE_TIMEOUT_MS;
    for (;;) {
      const found = this.find(id);
      if (found || clock.monotonicMs() >= deadlineMs) return found;
      await this.readRecords();
      if (!this.find(id)) await clock.sleep(LOCATE_INTERVAL_MS);
    }
  }

  /** Reads the records of all instances; returns the last ones read if the object API fails. */
  async listRecords(): Promise<readonly InstanceRecord[]> {
    await this.readRecords();
    return this.listed;
  }

  private async readRecords(): Promise<void> {
    const records = await this.directory.listInstances();
    if (records.length > 0) this.listed = records;
  }

  /** Finds an instance by id; its address may be out of date. */
  find(id: string): PeerAddress | undefined {
    return this.options.membership.findMember(id) ?? this.listed.find((record) => record.id === id);
  }

  /** Lists the other instances that are not known to have failed or left, or the seeds if none. */
  listOthers(): PeerAddress[] {
    const { membership } = this.options;
    const self = membership.getSelf();
    const others = new Map<string, PeerAddress>();
    for (const record of this.listed) others.set(record.id, record);
    for (const { contacts } of membership.getZoneSummaries()) {
      for (const contact of contacts) others.set(contact.id, contact);
    }
    for (const member of membership.getMembers()) {
      if (member.status === MemberStatus.ALIVE) others.set(member.id, member);
      else others.delete(member.id);
    }
    others.delete(self.id);
    if (others.size > 0) return [...others.values()];
    // During an outage of the object API an instance starts without records, and it serves requests
    // before its first exchange with a peer.
    return this.options.seeds
      .filter((peersAddress) => peersAddress !== self.peersAddress)
      .map((peersAddress) => ({ id: '', zone: '', peersAddress }));
  }
}
