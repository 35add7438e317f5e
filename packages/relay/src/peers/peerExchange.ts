import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import type { CrashCounter } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from '../follow/clockReading.js';
import { readClocks } from '../follow/clockReading.js';
import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { RolloutRouter } from '../rollouts/rolloutRouter.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { Loads, ReportPart } from './fleetSums.js';
import { addLoads, createReport, subtractLoads } from './fleetSums.js';
import type { Echo, FleetReport, PeerMessage, ViewName, ViewState } from './peerMessage.js';
import { parsePeerMessage } from './peerMessage.js';
import type { Peer } from './peerTable.js';
import { LOST_AFTER_MS, PeerTable } from './peerTable.js';

/** Options of `PeerExchange`. */
export interface PeerExchangeOptions {
  clock: Clock;
  /** This instance; its address is the one that it listens on. */
  self: PeerRecord;
  directory: UpstreamDirectory;
  rollouts: RolloutRouter;
  crashes: CrashCounter;
  /** Returns the states that this instance has confirmed. */
  listViews: () => Partial<Record<ViewName, ViewState>>;
  /** Called when a peer has confirmed a state by a read that began no earlier than `since`. */
  onPeerView: (name: ViewName, state: string, since: ClockReading) => void;
  onEvent?: (event: 'peer_seen', name: string) => void;
}

const SEND_INTERVAL_MS = 250;
/** Peers up to which each instance tells all others; beyond it, reporters sum up for their zones. */
const MAX_MESH_PEERS = 12;
/** Reporters send each second time: their messages are long and go to a whole zone. */
const REPORT_TICKS = 2;
/** After this silence a peer's load counts no longer. */
const STALE_AFTER_MS = 1500;
const MAX_CRASH_ENTRIES = 20;
/** Messages whose sending is kept; at four a second, echoes older than this prove nothing new. */
const KEPT_SENDINGS = 32;

interface Sending {
  at: ClockReading;
  loads: Loads;
}

/**
 * Exchanges load, evidence and crash counts with the other instances by datagrams. Each message is
 * a whole state, so a lost one is made good by the next, and no connection can go silent.
 *
 * In a small fleet each instance tells all others. In a larger one it tells the reporters of its
 * zone; they tell each other the sums of their zones, and their zone the sums of all.
 */
export class PeerExchange {
  private readonly socket: Socket = createSocket('udp4');

  private readonly table: PeerTable;

  private readonly incarnation: number;

  private readonly sendings = new Map<number, Sending>();

  private sequence = 0;

  private ticks = 0;

  private isLeaving = false;

  constructor(private readonly options: PeerExchangeOptions) {
    this.incarnation = options.clock.wallMs();
    this.table = new PeerTable(options.clock, options.self);
  }

  /** Opens the socket. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.options.self.port, this.options.self.host, () => {
        this.socket.off('error', reject);
        // A datagram that cannot be sent is made good by the next one.
        this.socket.on('error', () => {});
        this.socket.on('message', (bytes, sender) =>
          this.receive(bytes, { host: sender.address, port: sender.port }),
        );
        resolve();
      });
    });
  }

  /** Adds an address at which a peer may be. */
  addAddress(address: SocketAddress): void {
    this.table.addAddress(address);
  }

  /** Adds a peer of which the zone is known. */
  addPeer(record: PeerRecord): void {
    this.table.addRecord(record);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.send();
      this.applyLoads();
      await this.options.clock.sleep(SEND_INTERVAL_MS, signal);
    }
  }

  startLeaving(): void {
    this.isLeaving = true;
    this.send();
  }

  close(): void {
    this.socket.close();
  }

  /** Names of the living instances that are known here, this one included. */
  listLiveInstances(): string[] {
    const living = this.table.listLiving();
    return this.isLeaving ? living : [...living, this.options.self.name].sort();
  }

  /** Position of this instance among the living ones; the last one while it leaves. */
  getRank(): number {
    const living = this.table.listLiving();
    return this.isLeaving ? living.length : this.table.getRank(living);
  }

  /** Living instances of all zones, this one included. */
  countInstances(): number {
    return Math.max(this.listLiveInstances().length, this.findFleetReport()?.count ?? 0);
  }

  listEvidence(): Record<string, EvidenceSums>[] {
    const own = this.options.rollouts.exportEvidence();
    if (!this.isZoned) {
      return [own, ...this.table.listHeard().map(({ message }) => message.evidence)];
    }
    if (!this.isReporter) return [this.findFleetReport(Infinity)?.evidence ?? own];
    return [
      own,
      ...this.listZonePeers(Infinity).map(({ message }) => message.evidence),
      ...this.listOtherZones(Infinity).map(({ evidence }) => evidence),
    ];
  }

  /** Counts the requests that living instances have at upstreams, without the own ones. */
  countPeerCalls(upstreamIds: readonly string[]): number {
    const loads = this.sumPeerLoads(LOST_AFTER_MS);
    return upstreamIds.reduce((sum, id) => sum + (loads[id]?.[0] ?? 0), 0);
  }

  /** Whether this instance waits for changes at the store, and passes them on in a large fleet. */
  get isWatcher(): boolean {
    return !this.isZoned || this.isReporter || this.findProvider() === undefined;
  }

  /** Returns a reporter of the own zone that was heard a moment ago, for reads of its views. */
  findProvider(): SocketAddress | undefined {
    if (!this.isZoned || this.isReporter) return undefined;
    const reporter = this.findReporter(STALE_AFTER_MS);
    return reporter && this.table.findAddress(reporter.message.name);
  }

  private get isZoned(): boolean {
    return this.table.addressCount > MAX_MESH_PEERS;
  }

  private get isReporter(): boolean {
    const { self } = this.options;
    return !this.isLeaving && this.table.chooseReporters(self.zone).includes(self);
  }

  private send(): void {
    this.ticks += 1;
    if (!this.isZoned) {
      this.sendTo(this.table.listAddresses(), this.createMessage());
      return;
    }
    const { self } = this.options;
    if (!this.isReporter) {
      const reporters = this.table.chooseReporters(self.zone);
      this.sendTo([...reporters, ...this.table.listUnnamed()], this.createMessage());
      return;
    }
    if (this.ticks % REPORT_TICKS !== 0) return;
    const message = this.createMessage();
    const zone = createReport('zone', [{ ...message, count: 1 }, ...this.listZoneParts()]);
    const fleet = createReport('fleet', [zone, ...this.listOtherZones()]);
    const others = this.table.listZones().filter((name) => name !== self.zone);
    const remote = others.flatMap((name) => this.table.chooseReporters(name));
    const names = new Set(remote.map(({ name }) => name));
    const echoes = Object.entries(message.echoes).filter(([name]) => names.has(name));
    this.sendTo(remote, { ...message, echoes: Object.fromEntries(echoes), report: zone });
    const members = [...this.table.listRecords(self.zone), ...this.table.listUnnamed()];
    this.sendTo(members, { ...message, report: fleet });
  }

  private sendTo(addresses: readonly SocketAddress[], message: PeerMessage): void {
    const bytes = Buffer.from(JSON.stringify(message));
    for (const { host, port } of addresses) this.socket.send(bytes, port, host, () => {});
  }

  private createOwnLoads(): Loads {
    const loads: Loads = {};
    for (const upstream of this.options.directory.listAll()) {
      if (upstream.calls.size === 0) continue;
      let backlogMs = 0;
      let heldTokens = 0;
      for (const call of upstream.calls) {
        backlogMs += call.backlogMs;
        heldTokens += call.heldTokens;
      }
      loads[upstream.id] = [upstream.calls.size, Math.round(backlogMs), Math.round(heldTokens)];
    }
    return loads;
  }

  private createMessage(): PeerMessage {
    const { self, clock, crashes, listViews, rollouts } = this.options;
    const loads = this.createOwnLoads();
    this.sequence += 1;
    this.sendings.set(this.sequence, { at: readClocks(clock), loads });
    this.sendings.delete(this.sequence - KEPT_SENDINGS);
    return {
      name: self.name,
      zone: self.zone,
      capacity: self.capacity,
      incarnation: this.incarnation,
      sequence: this.sequence,
      isLeaving: this.isLeaving,
      loads,
      evidence: rollouts.exportEvidence(),
      crashes: crashes.exportEntries(MAX_CRASH_ENTRIES),
      pins: rollouts.exportPins(),
      views: listViews(),
      echoes: this.listEchoes(),
    };
  }

  private listEchoes(): Record<string, Echo> {
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    const echoes: Record<string, Echo> = {};
    for (const { message, heardAtMs, heardAtWallMs } of this.table.listHeard(STALE_AFTER_MS)) {
      // The smaller time is the safe one: the receiver adds it to its own time of sending.
      const heldMs = Math.max(0, Math.min(monotonicMs - heardAtMs, wallMs - heardAtWallMs));
      echoes[message.name] = [message.incarnation, message.sequence, heldMs];
    }
    return echoes;
  }

  /** Finds the own message that a peer had heard when it sent its last one. */
  private findEchoed(message: PeerMessage): { sending: Sending; heldMs: number } | undefined {
    const echo = message.echoes[this.options.self.name];
    if (!echo) return undefined;
    const [incarnation, sequence, heldMs] = echo;
    const sending = incarnation === this.incarnation ? this.sendings.get(sequence) : undefined;
    return sending && { sending, heldMs };
  }

  /**
   * Passes on what a peer has confirmed. The peer heard our message no earlier than it was sent,
   * held it for `heldMs` and confirmed its view `ageMs` before it answered, so the read began no
   * earlier than these say, whatever time the datagrams took.
   */
  private applyViews(message: PeerMessage): void {
    const echoed = this.findEchoed(message);
    if (!echoed) return;
    const { at } = echoed.sending;
    for (const [name, [state, ageMs]] of Object.entries(message.views)) {
      const shiftMs = echoed.heldMs - ageMs;
      this.options.onPeerView(name as ViewName, state, {
        monotonicMs: at.monotonicMs + shiftMs,
        wallMs: at.wallMs + shiftMs,
      });
    }
  }

  private receive(bytes: Buffer, sender: SocketAddress): void {
    const message = parsePeerMessage(bytes);
    if (!message || message.name === this.options.self.name) return;
    const isNew = this.table.find(message.name) === undefined;
    if (!this.table.record(message, sender)) return;
    if (isNew) this.options.onEvent?.('peer_seen', message.name);
    this.options.crashes.importEntries(message.crashes);
    this.options.rollouts.importPins([...message.pins, ...(message.report?.pins ?? [])]);
    this.applyViews(message);
  }

  /** Returns the peers of the own zone that were heard within `maxAgeMs`. */
  private listZonePeers(maxAgeMs: number): Peer[] {
    const { zone } = this.options.self;
    return this.table.listHeard(maxAgeMs).filter(({ message }) => message.zone === zone);
  }

  /** Returns what the other instances of the zone contribute to its report. */
  private listZoneParts(maxAgeMs = STALE_AFTER_MS): ReportPart[] {
    return this.listZonePeers(maxAgeMs).map(({ message }) => ({ ...message, count: 1 }));
  }

  /** Returns the most complete report of each other zone. */
  private listOtherZones(maxAgeMs = STALE_AFTER_MS): FleetReport[] {
    const best = new Map<string, FleetReport>();
    for (const { message } of this.table.listHeard(maxAgeMs)) {
      const { zone, report } = message;
      if (report?.scope !== 'zone' || zone === this.options.self.zone) continue;
      if (report.count > (best.get(zone)?.count ?? 0)) best.set(zone, report);
    }
    return [...best.values()];
  }

  private findReporter(maxAgeMs: number): Peer | undefined {
    let best: Peer | undefined;
    for (const peer of this.table.listHeard(maxAgeMs)) {
      const { report } = peer.message;
      if (report?.scope !== 'fleet') continue;
      if (report.count > (best?.message.report?.count ?? 0)) best = peer;
    }
    return best;
  }

  /** Returns the most complete report of all zones that this instance was sent. */
  private findFleetReport(maxAgeMs = LOST_AFTER_MS): FleetReport | undefined {
    return this.findReporter(maxAgeMs)?.message.report;
  }

  /** Sums the loads of all other instances. */
  private sumPeerLoads(maxAgeMs: number): Loads {
    const sum: Loads = {};
    if (!this.isZoned) {
      for (const { message } of this.table.listHeard(maxAgeMs)) addLoads(sum, message.loads);
      return sum;
    }
    if (!this.isReporter) {
      const reporter = this.findReporter(maxAgeMs);
      if (!reporter?.message.report) return sum;
      const own = this.findEchoed(reporter.message)?.sending.loads ?? {};
      return subtractLoads(reporter.message.report.loads, own);
    }
    for (const { loads } of this.listZoneParts(maxAgeMs)) addLoads(sum, loads);
    for (const { loads } of this.listOtherZones(maxAgeMs)) addLoads(sum, loads);
    return sum;
  }

  private applyLoads(): void {
    const loads = this.sumPeerLoads(STALE_AFTER_MS);
    for (const upstream of this.options.directory.listAll()) {
      const [running, backlogMs, heldTokens] = loads[upstream.id] ?? [0, 0, 0];
      upstream.peerLoad = { running, backlogMs, heldTokens };
    }
  }
}
