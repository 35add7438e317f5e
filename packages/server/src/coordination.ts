import { readFileSync } from 'node:fs';

import {
  BillingJournal,
  ClaimJournal,
  ConfigReplica,
  HttpObjectStore,
  Membership,
  QuotaLease,
  SessionTokens,
} from '@cactusstair/coordination';
import { InstanceRecord } from '@cactusstair/protocol';
import type { Clock, LifecycleManager, Logger, Random } from '@cactusstair/utils';

import type { PeerLinks } from './peers/peerLinks.js';
import type { EntrySettings } from './settings.js';

/** What the coordination parts of an instance are made from. */
export interface CoordinationOptions {
  settings: EntrySettings;
  incarnation: number;
  links: PeerLinks;
  clock: Clock;
  random: Random;
  logger: Logger;
  lifecycle: LifecycleManager;
}

/** The coordination parts of one instance, wired to its object API and its peers. */
export class Coordination {
  readonly store: HttpObjectStore;

  readonly replica: ConfigReplica;

  readonly membership: Membership;

  readonly sessions: SessionTokens;

  readonly claims: ClaimJournal;

  readonly billing: BillingJournal;

  readonly quotas: QuotaLease;

  constructor(options: CoordinationOptions) {
    const { settings, incarnation, links, clock, random, logger, lifecycle } = options;
    const { id, region, zone } = settings.instance;
    this.store = new HttpObjectStore({
      baseUrl: settings.platform.objectApi,
      timeoutMs: settings.platform.requestTimeoutMs,
    });
    lifecycle.own('object store', () => this.store.close());
    this.replica = new ConfigReplica({
      clusterKey: readFileSync(settings.peers.clusterKeyFile),
      clock,
      onInvalidObject: ({ kind, name }, error) =>
        logger.error('configuration object is invalid', { kind, name, error: error.message }),
    });
    this.membership = new Membership({
      self: { id, incarnation, region, zone, peersAddress: settings.listen.peers },
      clock,
      random,
      getConfigState: () => ({
        appliedRevision: this.replica.appliedRevision,
        confirmedAgeMs: this.replica.getConfirmedAgeMs(),
      }),
    });
    this.sessions = new SessionTokens({ getKeys: () => this.replica.getSessionKeys(), clock });
    this.claims = new ClaimJournal({
      store: this.store,
      clock,
      random,
      lifecycle,
      owner: id,
      incarnation,
    });
    this.billing = new BillingJournal({
      store: this.store,
      copier: links,
      clock,
      lifecycle,
      origin: id,
      incarnation,
      maxBufferedBills: settings.limits.unflushedBills,
    });
    this.quotas = new QuotaLease({
      store: this.store,
      clock,
      lifecycle,
      holder: `${id}.${incarnation}`,
      getInstanceCount: () => this.countInstances(),
    });
  }

  /** Instances that are known to be alive, this one included. */
  countInstances(): number {
    const ownZone = this.membership.getSelf().zone;
    const others = this.membership.getZoneSummaries().filter(({ zone }) => zone !== ownZone);
    const inZone = this.membership
      .getMembers()
      .filter((member) => member.zone === ownZone && this.membership.isAlive(member.id, member.incarnation));
    return Math.max(1, inZone.length) + others.reduce((sum, { alive }) => sum + alive, 0);
  }
}

/** Describes an instance for the object API. */
export function createInstanceRecord(
  settings: EntrySettings,
  incarnation: number,
  leaving: boolean,
): InstanceRecord {
  return InstanceRecord.create({
    ...settings.instance,
    incarnation,
    callersAddress: settings.listen.callers,
    operatorsAddress: settings.listen.operators,
    peersAddress: settings.listen.peers,
    leaving,
  });
}
