import type {
  ExchangeReply,
  ExchangeRequest,
  MemberRecord,
  CrashReport,
  LimitReport,
  QuarantineEntry,
  ZoneSummary,
} from '@cactusstair/protocol';
import {
  CrashReport as CrashReportCodec,
  LimitReport as LimitReportCodec,
  MemberStatus,
  QuarantineEntry as QuarantineEntryCodec,
} from '@cactusstair/protocol';
import type { Clock, Random } from '@cactusstair/utils';

import type { MemberTimeouts, TableEntry } from './memberTable.js';
import { hasEnded, isKnownStatus, MemberTable } from './memberTable.js';
import type { MessageLimits, SharedRecord } from './peerViews.js';
import { MessageBudget, PeerViews } from './peerViews.js';
import { ZoneTable } from './zoneTable.js';

/** Options of `Membership`. */
export interface MembershipOptions extends Partial<MemberTimeouts>, Partial<MessageLimits> {
  clock: Clock;
  random: Random;
  id: string;
  region: string;
  zone: string;
  /** Address at which peers reach this instance. */
  peersAddress: string;
  /** Wall-clock start time in milliseconds. Default: the current wall-clock time. */
  incarnation?: number;
  /** Returns the configuration revision that this instance has applied. */
  getAppliedRevision?: () => number;
  /** Returns the age of the last configuration confirmation; Infinity if there is none. */
  getConfirmedAgeMs?: () => number;
  /** Returns the quarantine entries to distribute, most important first. */
  exportQuarantine?: () => QuarantineEntry[];
  /** Imports the quarantine entries of a peer. */
  importQuarantine?: (entries: QuarantineEntry[]) => void;
  /** Returns what is known of crashes of upstreams, newest first. */
  exportCrashes?: () => CrashReport[];
  /** Imports what a peer knows of crashes of upstreams. */
  importCrashes?: (reports: CrashReport[]) => void;
  /** Returns the limits that upstreams have named. */
  exportLimits?: () => LimitReport[];
  /** Imports the limits that a peer has heard of. */
  importLimits?: (reports: LimitReport[]) => void;
}

const defaults = {
  // In simulations of zones of 30 to 42 members, the latest heartbeat that a member had received of
  // another was at most 11 rounds old.
  suspectAfterMs: 12_000,
  lostAfterMs: 25_000,
  forgetAfterMs: 600_000,
  maxMessageBytes: 4000,
  maxRefreshBytes: 350,
  maxZoneBytes: 300,
  getAppliedRevision: () => 0,
  getConfirmedAgeMs: () => Infinity,
  exportQuarantine: (): QuarantineEntry[] => [],
  importQuarantine: (() => {}) as (entries: QuarantineEntry[]) => void,
  exportCrashes: (): CrashReport[] => [],
  importCrashes: (() => {}) as (reports: CrashReport[]) => void,
  exportLimits: (): LimitReport[] => [],
  importLimits: (() => {}) as (reports: LimitReport[]) => void,
};

/**
 * Ticks after which a change is assumed to have reached every member. Records of lost and left
 * members are no longer sent after that.
 */
const PROPAGATION_TICKS = 60;
/**
 * The space for refreshes grows with the zone: with 350 bytes in a zone of 120 members, heartbeats
 * took up to 30 rounds to spread, which is longer than `lostAfterMs`.
 */
const REFRESH_BYTES_PER_MEMBER = 9;
/** A gap between two ticks above this time counts as a pause of this instance. */
const MIN_PAUSE_MS = 3000;
/** Tick from which summaries are published; in earlier ticks few members are known. */
const FIRST_SUMMARY_TICK = 5;
/** Ticks after which an unchanged summary is published again to show that its zone is running. */
const RENEW_SUMMARY_TICKS = 5;
/**
 * A contact of another zone counts as alive while the zone's latest summary is younger than this.
 */
const MAX_SUMMARY_AGE_MS = 60_000;

/**
 * Gossip state of an instance: the members of its zone, the lost and left members of other zones,
 * and a summary of each zone. Exchanges may be lost, repeated and reordered.
 */
export class Membership {
  private readonly options: MembershipOptions & typeof defaults;

  private readonly self: MemberRecord;

  private readonly table: MemberTable;

  private readonly zones: ZoneTable;

  private readonly views = new PeerViews();

  private readonly lostListeners: ((record: MemberRecord) => void)[] = [];

  private ticks = 0;

  private lastTickAtMs: number;

  private lastSummaryTick = 0;

  constructor(options: MembershipOptions) {
    this.options = { ...defaults, ...options };
    const { clock, random, id, region, zone, peersAddress } = options;
    this.self = {
      id,
      incarnation: options.incarnation ?? Math.floor(clock.wallMs()),
      heartbeat: 1,
      status: MemberStatus.ALIVE,
      region,
      zone,
      peersAddress,
      appliedRevision: 0,
      confirmedAgeMs: -1,
    };
    const onLost = (record: MemberRecord) => {
      for (const listener of this.lostListeners) listener({ ...record });
    };
    this.table = new MemberTable({ ...this.options, onLost });
    this.zones = new ZoneTable(clock, random);
    this.lastTickAtMs = clock.monotonicMs();
  }

  /** Returns this instance's record. Its incarnation rises when peers have marked it lost. */
  getSelf(): MemberRecord {
    const ageMs = this.options.getConfirmedAgeMs();
    const confirmedAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : -1;
    return { ...this.self, appliedRevision: this.options.getAppliedRevision(), confirmedAgeMs };
  }

  /** Returns the records of this zone in any status, this instance's own included. */
  getMembers(): MemberRecord[] {
    return [this.getSelf(), ...this.listZone().map((entry) => this.table.exportRecord(entry))];
  }

  /** Returns the latest summary of each known zone. */
  getZoneSummaries(): ZoneSummary[] {
    return structuredClone(this.zones.listSummaries());
  }

  /** Returns the time since a zone's last new summary; Infinity for an unknown zone. */
  getZoneSummaryAgeMs(zone: string): number {
    return this.zones.getSummaryAgeMs(zone);
  }

  /** Returns a member of this zone or a known contact of another zone. */
  findMember(id: string): MemberRecord | undefined {
    if (id === this.self.id) return this.getSelf();
    const entry = this.table.get(id);
    if (entry?.record.zone === this.self.zone) return this.table.exportRecord(entry);
    return this.zones.findContact(id) ?? entry?.record;
  }

  /**
   * Whether one run of a member is known to be alive, suspect or leaving. In other zones only the
   * contacts are known, so false can also mean that the member is unknown.
   */
  isAlive(id: string, incarnation: number): boolean {
    if (id === this.self.id) return incarnation === this.self.incarnation;
    const entry = this.table.get(id);
    if (entry && entry.record.incarnation >= incarnation) {
      return entry.record.incarnation === incarnation && !hasEnded(entry.record);
    }
    const contact = this.zones.findContact(id);
    if (contact?.incarnation !== incarnation) return false;
    return this.zones.getSummaryAgeMs(contact.zone) < MAX_SUMMARY_AGE_MS;
  }

  /**
   * Returns the watchers of a zone, which follow the object API while its other members follow them:
   * the two lowest ids of its alive members, or for another zone of the contacts in its summary.
   */
  getWatchers(zone: string): string[] {
    const records =
      zone === this.self.zone ? this.listAlive() : (this.zones.getSummary(zone)?.contacts ?? []);
    const ids = records.map((record) => record.id);
    return ids.sort((a, b) => (a < b ? -1 : 1)).slice(0, 2);
  }

  /**
   * Calls `listener` when a run of a member ends without leaving: it was lost or it restarted. A
   * member that was only paused can return with the same incarnation and be lost again.
   */
  onLost(listener: (record: MemberRecord) => void): void {
    this.lostListeners.push(listener);
  }

  /** Announces that this instance is stopping; it takes no new work. */
  startLeaving(): void {
    if (this.self.status !== MemberStatus.LEFT) this.setOwnStatus(MemberStatus.LEAVING);
  }

  /** Announces that this instance has stopped and has nothing left to store. */
  finishLeaving(): void {
    this.setOwnStatus(MemberStatus.LEFT);
  }

  /**
   * Increments this instance's heartbeat and checks the timeouts of others; called once a second.
   */
  tick(): void {
    const nowMs = this.options.clock.monotonicMs();
    const gapMs = nowMs - this.lastTickAtMs;
    this.lastTickAtMs = nowMs;
    if (gapMs > MIN_PAUSE_MS) this.table.excludePause(gapMs);
    this.ticks += 1;
    if (this.self.status !== MemberStatus.LEFT) this.self.heartbeat += 1;
    this.table.checkTimeouts();
    this.publishSummary();
  }

  /**
   * Creates the request or reply for a peer, with at most `maxMessageBytes`: the changed records for
   * a peer of this zone, the lost and left members for a peer of another zone, and zone summaries
   * for both. The id is empty if only the peer's address is known.
   */
  createExchange(peerId: string): ExchangeRequest {
    const { maxMessageBytes, maxRefreshBytes, maxZoneBytes } = this.options;
    const sender = this.getSelf();
    const view = peerId === '' ? undefined : this.views.get(peerId);
    // The sender's record and the framing take less than 250 bytes.
    const budget = new MessageBudget(maxMessageBytes - 250);
    if (!view) return { sender, members: [], zones: [], quarantine: [], crashes: [], limits: [] };
    const shared = this.listSharedRecords(peerId);
    const refreshBytes = Math.max(maxRefreshBytes, shared.length * REFRESH_BYTES_PER_MEMBER);
    const members = this.views.selectRecords(view, shared, budget, refreshBytes);
    const summaries = this.zones.listSummaries();
    const zones = this.views.selectZones(view, summaries, budget, maxZoneBytes);
    const quarantine = this.options
      .exportQuarantine()
      .filter((entry) => budget.tryTake(QuarantineEntryCodec.encode(entry).finish().length + 3));
    const crashes = this.options
      .exportCrashes()
      .filter((report) => budget.tryTake(CrashReportCodec.encode(report).finish().length + 3));
    const limits = this.options
      .exportLimits()
      .filter((report) => budget.tryTake(LimitReportCodec.encode(report).finish().length + 3));
    return { sender, members, zones, quarantine, crashes, limits };
  }

  /** Merges a request or a reply. */
  applyExchange(message: ExchangeRequest | ExchangeReply): void {
    const sender = 'sender' in message ? message.sender : message.responder;
    const records = sender ? [sender, ...message.members] : message.members;
    if (sender) {
      this.views.recordReceived(sender.id, records, message.zones);
      if (sender.zone !== this.self.zone && !hasEnded(sender)) this.zones.addContact(sender);
    }
    for (const record of records) {
      if (!isKnownStatus(record.status)) continue;
      if (record.id === this.self.id) this.refute(record);
      else this.mergeRecord(record);
    }
    for (const summary of message.zones) this.zones.merge(summary);
    if (message.quarantine.length > 0) this.options.importQuarantine(message.quarantine);
    if (message.crashes.length > 0) this.options.importCrashes(message.crashes);
    if (message.limits.length > 0) this.options.importLimits(message.limits);
  }

  /** Records that an exchange with a peer failed, so that its contents are sent again. */
  recordExchangeFailure(peerId: string): void {
    this.views.forget(peerId);
    this.zones.dropContact(peerId);
  }

  /** Returns the instances of all zones that are running, including those that are leaving. */
  describeGroup(): { countByZone: Record<string, number>; zone: string; index: number } {
    const { id, zone } = this.self;
    const neighbours = this.listZonePeers().map((record) => record.id);
    const countByZone: Record<string, number> = {};
    for (const summary of this.zones.listSummaries()) countByZone[summary.zone] = summary.alive;
    countByZone[zone] = neighbours.length + 1;
    return { countByZone, zone, index: neighbours.filter((other) => other < id).length };
  }

  /** Returns the members of this zone that are neither lost nor left. */
  listZonePeers(): MemberRecord[] {
    return this.listZone()
      .map((entry) => entry.record)
      .filter((record) => !hasEnded(record));
  }

  /** Returns the lost members of this zone; an exchange with one heals a partition. */
  listLostPeers(): MemberRecord[] {
    return this.listZone()
      .map((entry) => entry.record)
      .filter((record) => record.status === MemberStatus.LOST);
  }

  /** Chooses a contact of another zone. */
  chooseContact(): MemberRecord | undefined {
    return this.zones.chooseContact(this.self.zone);
  }

  private listZone(): TableEntry[] {
    return this.table.list().filter((entry) => entry.record.zone === this.self.zone);
  }

  private listAlive(): MemberRecord[] {
    const others = this.listZone().map((entry) => entry.record);
    return [this.getSelf(), ...others].filter((record) => record.status === MemberStatus.ALIVE);
  }

  private setOwnStatus(status: MemberStatus): void {
    this.self.status = status;
    this.self.heartbeat += 1;
  }

  /** Merges a record. Of other zones only lost and left members are kept. */
  private mergeRecord(record: MemberRecord): void {
    const isOwnZone =
      record.zone === this.self.zone ||
      (record.peersAddress === '' && this.table.get(record.id)?.record.zone === this.self.zone);
    if (isOwnZone || hasEnded(record)) this.table.merge(record);
  }

  /** Lists the records that a peer may need. */
  private listSharedRecords(peerId: string): SharedRecord[] {
    const nowMs = this.options.clock.monotonicMs();
    const peer = this.table.get(peerId)?.record;
    const isZonePeer = peer?.zone === this.self.zone;
    // A peer that has run for some time is assumed to have the records without recent changes.
    const isNewPeer = (peer?.heartbeat ?? 0) < PROPAGATION_TICKS;
    const shared: SharedRecord[] = [];
    for (const entry of this.table.list()) {
      const isRecent = nowMs - entry.changedAtMs < PROPAGATION_TICKS * 1000;
      // A peer needs a record of itself only if it has to refute it.
      const isOwnRecord = entry.record.id === peerId && entry.record.status === MemberStatus.ALIVE;
      // Without the time limit, a lost or left member that some members have already removed would
      // circulate forever.
      const isUseful = hasEnded(entry.record) ? isRecent : isZonePeer;
      if (!isUseful || isOwnRecord) continue;
      shared.push({
        record: this.table.exportRecord(entry),
        isLikelyUnknown: isNewPeer || isRecent,
      });
    }
    if (isZonePeer) return shared;
    // Lets instances of another zone that so far know only this instance discover each other.
    const zone = this.zones.findContact(peerId)?.zone;
    const contacts = zone === undefined ? [] : this.zones.listContacts(zone);
    const others = contacts.filter((contact) => contact.id !== peerId);
    return [...shared, ...others.map((record) => ({ record, isLikelyUnknown: true }))];
  }

  /** Refutes a peer's outdated record of this instance. */
  private refute(record: MemberRecord): void {
    if (this.self.status === MemberStatus.LEFT) return;
    const isOlder = record.incarnation < this.self.incarnation;
    if (isOlder) return;
    if (record.incarnation > this.self.incarnation || hasEnded(record)) {
      // A higher incarnation than the current one comes from a run before the wall clock was set
      // back.
      const wallMs = Math.floor(this.options.clock.wallMs());
      this.self.incarnation = Math.max(wallMs, record.incarnation + 1);
      this.self.heartbeat += 1;
    } else if (record.status === MemberStatus.SUSPECT) {
      this.self.heartbeat = Math.max(this.self.heartbeat, record.heartbeat) + 1;
    }
  }

  private publishSummary(): void {
    if (this.ticks < FIRST_SUMMARY_TICK) return;
    const { zone, id } = this.self;
    if (this.getWatchers(zone)[0] !== id) return;
    const alive = this.listAlive();
    const lowest = Math.min(...alive.map((record) => record.appliedRevision));
    const last = this.zones.getSummary(zone);
    const isChanged = last?.alive !== alive.length || last.lowestAppliedRevision !== lowest;
    if (!isChanged && this.ticks - this.lastSummaryTick < RENEW_SUMMARY_TICKS) return;
    this.lastSummaryTick = this.ticks;
    this.zones.publish(zone, alive);
  }
}
