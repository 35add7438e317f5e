import type { Membership, ObjectStore } from '@cactusstair/coordination';
import { InstanceDirectory } from '@cactusstair/coordination';
import type { InstanceRecord } from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';

/** Where an instance takes peer calls. */
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
 * The membership knows all instances of the own zone and a few contacts of each other zone; the
 * rest comes from the records in the object API, which lag.
 */
export class AddressBook {
  private listed: InstanceRecord[] = [];

  private readonly directory: InstanceDirectory;

  constructor(private readonly options: AddressBookOptions) {
    this.directory = new InstanceDirectory(options.store);
  }

  /** Reads the records again and again until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readRecords();
      const intervalMs = this.listed.length > 1 ? LIST_INTERVAL_MS : RETRY_INTERVAL_MS;
      await this.options.clock.sleep(intervalMs, signal);
    }
  }

  /**
   * Finds an instance, and looks for it in the object API while it is not known. An instance serves
   * requests before its record is written and before its peers have exchanged with it.
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

  /** Reads the records of all instances once; those of the last read when the object API fails. */
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

  /** Lists all other instances that are not known to have gone, or the seeds if none is known. */
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
    // An instance that starts during an outage of the object API serves before its first exchange.
    return this.options.seeds
      .filter((peersAddress) => peersAddress !== self.peersAddress)
      .map((peersAddress) => ({ id: '', zone: '', peersAddress }));
  }
}
