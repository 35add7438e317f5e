import type { BillingJournal, Membership, ObjectStore } from '@cactusstair/coordination';
import { MembershipTask } from '@cactusstair/coordination';
import type { ExchangeReply, ExchangeRequest } from '@cactusstair/protocol';
import { InstanceRecord } from '@cactusstair/protocol';
import type { CrashQuarantine } from '@cactusstair/routing';
import type { Clock, Logger, Random } from '@cactusstair/utils';

import type { EntrySettings } from '../settings.js';
import type { PeerLinks } from './peerLinks.js';

/** Options of `InstanceDirectory`. */
export interface InstanceDirectoryOptions {
  settings: EntrySettings;
  incarnation: number;
  store: ObjectStore;
  membership: Membership;
  links: PeerLinks;
  quarantine: CrashQuarantine;
  billing: BillingJournal;
  clock: Clock;
  random: Random;
  logger: Logger;
}

const KIND = 'instance';
const PUBLISH_INTERVAL_MS = 60_000;
const RETRY_INTERVAL_MS = 2000;

/** Publishes this instance, learns of the others, and runs the exchanges between them. */
export class InstanceDirectory {
  private records: InstanceRecord[] = [];

  constructor(private readonly options: InstanceDirectoryOptions) {}

  /** Every instance that the object API listed last, leaving ones included. */
  listInstances(): readonly InstanceRecord[] {
    return this.records;
  }

  /** Publishes and exchanges until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { membership, links, quarantine, billing, clock, random, logger, settings } =
      this.options;
    membership.onLost(({ id, incarnation }) => {
      logger.warn('instance is lost', { lost: id, incarnation });
      billing.adoptLostOrigin(id, incarnation).catch((error: unknown) => {
        logger.error('bills of a lost instance are not stored yet', { error: String(error) });
      });
    });
    const exchanges = new MembershipTask({
      membership,
      clock,
      random,
      getSeeds: () => [
        ...settings.peers.seeds,
        ...this.records.filter(({ leaving }) => !leaving).map((record) => record.peersAddress),
      ],
      exchange: async (address: string, request: ExchangeRequest): Promise<ExchangeReply> => {
        const reply = await links.exchange(address, {
          ...request,
          quarantine: quarantine.exportEntries(),
        });
        quarantine.importEntries(reply.quarantine);
        return reply;
      },
    });
    await Promise.all([exchanges.run(signal), this.keepPublished(signal)]);
  }

  /** Writes this instance's record. Nothing depends on it but how soon others learn of it. */
  async publish(leaving: boolean): Promise<boolean> {
    const { settings, incarnation, store } = this.options;
    const record = InstanceRecord.create({
      ...settings.instance,
      incarnation,
      callersAddress: settings.listen.callers,
      operatorsAddress: settings.listen.operators,
      peersAddress: settings.listen.peers,
      leaving,
    });
    const name = settings.instance.id;
    const found = await store.get(KIND, name);
    if (found.isErr() && found.error.type !== 'not_found') return false;
    const version = found.isOk() ? found.value.version : 0;
    const written = await store.update(KIND, name, InstanceRecord.toJSON(record), version);
    return written.isOk();
  }

  private async keepPublished(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const published = await this.publish(false);
      const listed = await this.options.store.list(KIND);
      if (listed.isOk()) {
        this.records = listed.value.map((object) => InstanceRecord.fromJSON(object.value));
      }
      const intervalMs = published && listed.isOk() ? PUBLISH_INTERVAL_MS : RETRY_INTERVAL_MS;
      await this.options.clock.sleep(intervalMs, signal);
    }
  }
}
