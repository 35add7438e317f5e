import { readFileSync } from 'node:fs';

import {
  BillingJournal,
  ClaimJournal,
  ConfigReplica,
  HttpObjectStore,
  Membership,
  MembershipTask,
  QuotaLease,
  SessionTokens,
} from '@cactusstair/coordination';
import type { CrashAttribution, CrashQuarantine, UpstreamLimits } from '@cactusstair/routing';
import { CrashFeed } from '@cactusstair/routing';
import type { Clock, LifecycleManager, Logger, Random } from '@cactusstair/utils';

import { AddressBook } from './peers/addressBook.js';
import type { PeerClients } from './peers/peerClients.js';
import type { EntrySettings } from './settings.js';

/** Options of `Coordination`. */
export interface CoordinationOptions {
  settings: EntrySettings;
  incarnation: number;
  peerClients: PeerClients;
  quarantine: CrashQuarantine;
  crashes: CrashAttribution;
  limits: UpstreamLimits;
  clock: Clock;
  random: Random;
  logger: Logger;
  lifecycle: LifecycleManager;
}

/** Creates and connects the components of an instance that use the object API and its peers. */
export class Coordination {
  readonly store: HttpObjectStore;

  readonly replica: ConfigReplica;

  readonly membership: Membership;

  readonly membershipTask: MembershipTask;

  readonly addresses: AddressBook;

  readonly sessions: SessionTokens;

  readonly claims: ClaimJournal;

  readonly billing: BillingJournal;

  readonly quotas: QuotaLease;

  constructor(options: CoordinationOptions) {
    const {
      settings,
      incarnation,
      peerClients,
      quarantine,
      crashes,
      limits,
      clock,
      random,
      logger,
      lifecycle,
    } = options;
    const { id, region, zone } = settings.instance;
    const crashFeed = new CrashFeed(crashes);
    this.store = new HttpObjectStore({
      baseUrl: settings.platform.objectApi,
      timeoutMs: settings.platform.requestTimeoutMs,
    });
    lifecycle.addCleanup('object store', () => this.store.close());
    this.replica = new ConfigReplica({
      clusterKey: readFileSync(settings.peers.clusterKeyFile),
      clock,
      onInvalidObject: ({ kind, name }, error) =>
        logger.error('configuration object is invalid', { kind, name, error: error.message }),
    });
    this.membership = new Membership({
      id,
      incarnation,
      region,
      zone,
      peersAddress: settings.advertise?.peers ?? settings.listen.peers,
      clock,
      random,
      getAppliedRevision: () => this.replica.appliedRevision,
      getConfirmedAgeMs: () => this.replica.getConfirmedAgeMs(),
      exportQuarantine: () => quarantine.exportEntries(),
      importQuarantine: (entries) => quarantine.importEntries(entries),
      exportCrashes: () => crashFeed.exportReports(),
      importCrashes: (reports) => crashes.importReports(reports),
      exportLimits: () => limits.exportReports('all'),
      importLimits: (reports) => limits.importReports(reports),
    });
    this.membershipTask = new MembershipTask({
      membership: this.membership,
      exchange: (address, request) => peerClients.exchange(address, request),
      clock,
      random,
      lifecycle,
      seeds: settings.peers.seeds,
      store: this.store,
      callersAddress: settings.listen.callers,
      operatorsAddress: settings.listen.operators,
    });
    this.addresses = new AddressBook({
      membership: this.membership,
      store: this.store,
      seeds: settings.peers.seeds,
      clock,
    });
    this.sessions = new SessionTokens({ getKeys: () => this.replica.getSessionKeys(), clock });
    this.claims = new ClaimJournal({
      store: this.store,
      clock,
      random,
      lifecycle,
      owner: id,
      getIncarnation: () => this.membership.getSelf().incarnation,
    });
    this.billing = new BillingJournal({
      store: this.store,
      copier: peerClients,
      clock,
      lifecycle,
      origin: id,
      incarnation,
      maxBufferedBills: settings.limits.unflushedBills,
    });
    this.quotas = new QuotaLease({
      store: this.store,
      clock,
      random,
      lifecycle,
      instance: id,
      incarnation,
      getInstanceCount: () => this.countInstances(),
    });
  }

  /** Returns the number of instances that are known to be alive, including this one. */
  countInstances(): number {
    const ownZone = this.membership.getSelf().zone;
    const others = this.membership.getZoneSummaries().filter(({ zone }) => zone !== ownZone);
    const inZone = this.membership
      .getMembers()
      .filter(
        (member) =>
          member.zone === ownZone && this.membership.isAlive(member.id, member.incarnation),
      );
    return Math.max(1, inZone.length) + others.reduce((sum, { alive }) => sum + alive, 0);
  }
}
