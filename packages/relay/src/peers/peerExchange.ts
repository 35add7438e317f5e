import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import type { CrashAttribution, InstanceGroup, UpstreamLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { createDictionary } from '@cactusstair/utils';

import type { ClockReading } from '../follow/clockReading.js';
import type { StoreEra } from '../follow/storeHistory.js';
import { readClocks } from '../follow/clockReading.js';
import type { PeerRecord, SocketAddress } from '../relayOptions.js';
import type { RolloutRouter } from '../rollouts/rolloutRouter.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import type { EngineEstimators } from '../upstreams/engineEstimators.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { UpstreamCapacities } from '../upstreams/upstreamCapacities.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { UpstreamLoads } from './fleetReport.js';
import { addLoads, createFleetReport, subtractLoads } from './fleetReport.js';
import type { PeerRole } from './fleetSums.js';
import { FleetSums, STALE_AFTER_MS } from './fleetSums.js';
import { InstanceRoster } from './instanceRoster.js';
import { LoadExchange } from './loadExchange.js';
import type { Echo, LoadNotice, PeerMessage, ViewName, ViewState } from './peerMessage.js';
import { parseDatagram } from './peerMessage.js';
import { LOST_AFTER_MS, PeerTable } from './peerTable.js';

/** Options of `PeerExchange`. */
export interface PeerExchangeOptions {
  clock: Clock;
  /** Record of this instance; the socket binds to its address. */
  self: PeerRecord;
  directory: UpstreamDirectory;
  engines: EngineEstimators;
  capacities: UpstreamCapacities;
  rollouts: RolloutRouter;
  crashes: CrashAttribution;
  limits: UpstreamLimits;
  /** Returns the view states that this instance has confirmed. */
  listViews: () => Partial<Record<ViewName, ViewState>>;
  /**
   * Called when a peer reports a view state that it confirmed by a read begun no earlier than
   * `since`.
   */
  onPeerView: (name: ViewName, state: string, since: ClockReading) => void;
  /** Called when the loads of other instances have been applied to the upstreams. */
  onLoads?: () => void;
  /** Returns the era of the store for the messages; undefined if it names none. */
  getStoreEra?: () => StoreEra | undefined;
  /** Called with each new message of a peer. */
  onMessage?: (message: PeerMessage) => void;
  onEvent?: (event: 'peer_seen', name: string) => void;
}

const SEND_INTERVAL_MS = 250;
/**
 * Up to this many peers, each instance sends to all others (full mesh). With more, the reporters of
 * each zone aggregate for their zone.
 */
const MAX_MESH_PEERS = 12;
/**
 * Reporters send only on every second tick, because their messages are long and go to a whole zone.
 */
const REPORT_INTERVAL_TICKS = 2;
/** Time in which an instance that starts hears of its peers and the reporters of its zone. */
const DISCOVERY_MS = 1500;
/** Shortest time after a message before a crash is reported ahead of the next one. */
const MIN_CRASH_GAP_MS = 50;
/**
 * Number of sent messages to remember. At four messages a second, echoes of older ones confirm
 * nothing new.
 */
const MAX_SENT_MESSAGES = 32;

interface SentMessage {
  sentAt: ClockReading;
  loads: UpstreamLoads;
}

/**
 * Exchanges load, rollout evidence, crash counts and view states with the other instances over UDP.
 * Each message carries the full state of its sender, so the next one makes up for a lost datagram,
 * and there is no connection that could hang.
 *
 * In a small fleet each instance sends to all others. In a larger one it sends to the reporters of
 * its zone. Reporters send the sums of their zone to the reporters of other zones, and the sums of
 * the whole fleet to their own zone.
 */
export class PeerExchange {
  private readonly socket: Socket = createSocket('udp4');

  /** All instances heard of so far. */
  readonly roster: InstanceRoster;

  private readonly table: PeerTable;

  private readonly sums: FleetSums;

  private readonly loads: LoadExchange;

  private readonly incarnation: number;

  private readonly sentMessages = new Map<number, SentMessage>();

  private sequence = 0;

  private ticks = 0;

  private readonly startedAtMs: number;

  private isLeaving = false;

  private crashTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerExchangeOptions) {
    this.incarnation = options.clock.wallMs();
    this.startedAtMs = options.clock.monotonicMs();
    this.table = new PeerTable(options.clock, options.self);
    this.roster = new InstanceRoster(options.clock, options.self.name, this.table);
    this.sums = new FleetSums(this.table, options.self.zone, () => this.role);
    this.loads = new LoadExchange({
      clock: options.clock,
      self: options.self,
      directory: options.directory,
      listReceivers: () => this.table.listRecords(options.self.zone),
      sumRemoteLoads: (maxAgeMs) => this.sums.sumRemoteLoads(maxAgeMs),
      sumReportedLoads: (maxAgeMs) => this.sumReportedLoads(maxAgeMs),
      send: (receivers, notice) => this.sendTo(receivers, notice),
    });
  }

  /** Opens the socket. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.options.self.port, this.options.self.host, () => {
        this.socket.off('error', reject);
        // Send errors are ignored, because the next message carries the full state again.
        this.socket.on('error', () => {});
        this.socket.on('message', (bytes, sender) =>
          this.receive(bytes, { host: sender.address, port: sender.port }),
        );
        resolve();
      });
    });
  }

  /** Adds an address at which a peer may be listening. */
  addAddress(address: SocketAddress): void {
    this.table.addAddress(address);
  }

  /** Adds a peer whose name and zone are known. */
  addPeer(record: PeerRecord): void {
    this.table.addRecord(record);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.roster.recordCount(this.countInstances());
      this.send();
      this.loads.refresh(STALE_AFTER_MS);
      this.options.onLoads?.();
      this.options.engines.importPeerSums(this.sums.sumEngines());
      this.options.capacities.importPeerSums(this.sums.sumCapacities());
      this.options.limits.refresh();
      await this.options.clock.sleep(SEND_INTERVAL_MS, signal);
    }
  }

  startLeaving(): void {
    this.isLeaving = true;
    this.send();
  }

  /** Tells the neighbours soon if this instance has added much to the load of an upstream. */
  notifyLoadGrowth(upstream: Upstream): void {
    this.loads.notifyGrowth(upstream);
  }

  /** Tells the other instances soon that an upstream has crashed. */
  notifyCrash(): void {
    if (this.crashTimer || this.hasReporters) return;
    this.crashTimer = setTimeout(() => {
      this.crashTimer = undefined;
      this.send();
    }, MIN_CRASH_GAP_MS);
  }

  close(): void {
    clearTimeout(this.crashTimer);
    this.loads.close();
    this.socket.close();
  }

  /** Returns the names of the known live instances, including this one unless it is leaving. */
  listLiveInstances(): string[] {
    const living = this.table.listLivePeers();
    return this.isLeaving ? living : [...living, this.options.self.name].sort();
  }

  /**
   * Returns the rank of this instance among the live ones, starting at 0; the last rank while it is
   * leaving.
   */
  getRank(): number {
    const living = this.table.listLivePeers();
    return this.isLeaving ? living.length : this.table.getRank(living);
  }

  /** Whether a recent message or report shows each known instance to be running. */
  get hasHeardAll(): boolean {
    return this.table.listLivePeers().length >= this.table.addressCount;
  }

  /** Returns the number of live instances in all zones, including this one. */
  countInstances(): number {
    return Math.max(this.listLiveInstances().length, this.sums.findFleetReport()?.count ?? 0);
  }

  /** Returns the instances of all zones, including those that are leaving but still serve. */
  describeGroup(): InstanceGroup {
    const { name, zone } = this.options.self;
    const neighbours = this.table.listPresentNames(zone);
    return {
      countByZone: { ...this.sums.countOtherZones(), [zone]: neighbours.length + 1 },
      zone,
      index: neighbours.filter((other) => other < name).length,
    };
  }

  listEvidence(): Record<string, EvidenceSums>[] {
    const own = this.options.rollouts.exportEvidence();
    if (!this.hasReporters) {
      return [own, ...this.table.listRecentPeers().map(({ message }) => message.evidence)];
    }
    if (!this.isReporter) return [this.sums.findFleetReport(Infinity)?.evidence ?? own];
    return [
      own,
      ...this.sums.listZonePeers(Infinity).map(({ message }) => message.evidence),
      ...this.sums.listOtherZoneReports(Infinity).map(({ evidence }) => evidence),
    ];
  }

  /**
   * Counts the requests that other live instances are running on the given upstreams. Where the
   * ways by which loads arrive differ, the larger count is returned.
   */
  countPeerCalls(upstreamIds: readonly string[]): number {
    const current = this.loads.sumPeerLoads(LOST_AFTER_MS);
    const reported = this.sumReportedLoads(LOST_AFTER_MS);
    return upstreamIds.reduce(
      (sum, id) => sum + Math.max(current[id]?.[0] ?? 0, reported[id]?.[0] ?? 0),
      0,
    );
  }

  /**
   * Whether this instance long-polls the store for changes. In a large fleet the other instances
   * read the changes from it. An instance that has just started does not poll before it can know
   * whether it has to; its state is confirmed by short reads until then.
   */
  get isWatcher(): boolean {
    if (this.options.clock.monotonicMs() - this.startedAtMs < DISCOVERY_MS) return false;
    return !this.hasReporters || this.isReporter || this.findProvider() === undefined;
  }

  /**
   * Returns the address of a reporter in the same zone from which views can be read. Returns
   * undefined if no recent report was received or this instance reads the store itself.
   */
  findProvider(): SocketAddress | undefined {
    if (!this.hasReporters || this.isReporter) return undefined;
    const reporter = this.sums.findReporter(STALE_AFTER_MS);
    return reporter && this.table.findAddress(reporter.message.name);
  }

  private get role(): PeerRole {
    if (!this.hasReporters) return 'mesh';
    return this.isReporter ? 'reporter' : 'member';
  }

  private get hasReporters(): boolean {
    return this.table.addressCount > MAX_MESH_PEERS;
  }

  private get isReporter(): boolean {
    const { self } = this.options;
    return !this.isLeaving && this.table.chooseReporters(self.zone).includes(self);
  }

  private send(): void {
    this.ticks += 1;
    if (!this.hasReporters) {
      this.sendTo(this.table.listAddresses(), this.createMessage());
      return;
    }
    const { self } = this.options;
    if (!this.isReporter) {
      const reporters = this.table.chooseReporters(self.zone);
      this.sendTo([...reporters, ...this.table.listUnnamed()], this.createMessage());
      return;
    }
    if (this.ticks % REPORT_INTERVAL_TICKS !== 0) return;
    const message = this.createMessage();
    const zone = createFleetReport('zone', self.zone, [
      { ...message, count: 1 },
      ...this.sums.listZoneParts(),
    ]);
    const fleet = createFleetReport('fleet', self.zone, [
      zone,
      ...this.sums.listOtherZoneReports(),
    ]);
    const remoteLoads = this.sums.sumRemoteLoads(STALE_AFTER_MS);
    const otherZones = this.table.listZones().filter((name) => name !== self.zone);
    const remote = otherZones.flatMap((name) => this.table.chooseReporters(name));
    const names = new Set(remote.map(({ name }) => name));
    const echoes = Object.entries(message.echoes).filter(([name]) => names.has(name));
    this.sendTo(remote, { ...message, echoes: Object.fromEntries(echoes), report: zone });
    const members = [...this.table.listRecords(self.zone), ...this.table.listUnnamed()];
    this.sendTo(members, { ...message, report: { ...fleet, remoteLoads } });
  }

  private sendTo(addresses: readonly SocketAddress[], message: PeerMessage | LoadNotice): void {
    const bytes = Buffer.from(JSON.stringify(message));
    for (const { host, port } of addresses) this.socket.send(bytes, port, host, () => {});
  }

  private createMessage(): PeerMessage {
    const { self, capacities, clock, crashes, engines, limits, listViews, rollouts } = this.options;
    const loads = this.loads.createOwnLoads();
    // Reporters pass on what the instances of their zone saw.
    const scope = this.role === 'reporter' ? 'all' : 'own';
    // In a large fleet these sums double the messages, and reports then come late over small links:
    // confirmations age and instances read the store themselves. Each instance learns alone there.
    const sharesTimes = !this.hasReporters;
    this.sequence += 1;
    this.sentMessages.set(this.sequence, { sentAt: readClocks(clock), loads });
    this.sentMessages.delete(this.sequence - MAX_SENT_MESSAGES);
    return {
      name: self.name,
      zone: self.zone,
      capacity: self.capacity,
      incarnation: this.incarnation,
      sequence: this.sequence,
      isLeaving: this.isLeaving,
      loads,
      evidence: rollouts.exportEvidence(),
      engines: engines.exportSums(sharesTimes),
      ...(sharesTimes ? { capacities: capacities.exportSums() } : {}),
      crashes: crashes.exportReports(scope),
      limits: limits.exportReports(scope),
      pins: rollouts.exportPins(),
      views: listViews(),
      store: this.options.getStoreEra?.(),
      echoes: this.listEchoes(),
    };
  }

  private listEchoes(): Record<string, Echo> {
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    const echoes = createDictionary<Echo>();
    for (const { message, receivedAtMs, receivedAtWallMs } of this.table.listRecentPeers(
      STALE_AFTER_MS,
    )) {
      // Use the smaller of the two: the receiver adds it to its own send time, and a value that is
      // too large would make a confirmation look newer than it is.
      const heldMs = Math.max(0, Math.min(monotonicMs - receivedAtMs, wallMs - receivedAtWallMs));
      echoes[message.name] = [message.incarnation, message.sequence, heldMs];
    }
    return echoes;
  }

  /** Finds the message of this instance that the peer acknowledges in `message`. */
  private findAcknowledged(
    message: PeerMessage,
  ): { sent: SentMessage; heldMs: number } | undefined {
    const echo = message.echoes[this.options.self.name];
    if (!echo) return undefined;
    const [incarnation, sequence, heldMs] = echo;
    const sent = incarnation === this.incarnation ? this.sentMessages.get(sequence) : undefined;
    return sent && { sent, heldMs };
  }

  /**
   * Reports the view states that a peer has confirmed. The peer received our message no earlier
   * than we sent it, answered `heldMs` later, and had begun the confirming read `ageMs` before its
   * answer. The send time plus `heldMs` minus `ageMs` is therefore a lower bound on the start of
   * that read, whatever the network delays were.
   */
  private applyViews(message: PeerMessage): void {
    const acknowledged = this.findAcknowledged(message);
    if (!acknowledged) return;
    const { sentAt } = acknowledged.sent;
    for (const [name, [state, ageMs]] of Object.entries(message.views)) {
      const shiftMs = acknowledged.heldMs - ageMs;
      this.options.onPeerView(name as ViewName, state, {
        monotonicMs: sentAt.monotonicMs + shiftMs,
        wallMs: sentAt.wallMs + shiftMs,
      });
    }
  }

  private receive(bytes: Buffer, sender: SocketAddress): void {
    const message = parseDatagram(bytes);
    if (!message || message.name === this.options.self.name) return;
    if ('load' in message) {
      this.loads.record(message.name, message.load, STALE_AFTER_MS);
      this.options.onLoads?.();
      return;
    }
    const isNew = this.table.find(message.name) === undefined;
    if (!this.table.recordMessage(message, sender)) return;
    if (isNew) this.options.onEvent?.('peer_seen', message.name);
    if (message.zone === this.options.self.zone) {
      this.loads.record(message.name, message.loads, STALE_AFTER_MS);
      this.options.onLoads?.();
    }
    this.options.crashes.importReports(message.crashes);
    this.options.limits.importReports(message.limits ?? []);
    this.options.rollouts.importPins([...message.pins, ...(message.report?.pins ?? [])]);
    this.applyViews(message);
    this.options.onMessage?.(message);
  }

  /** Sums the loads of all other instances from their messages and reports. */
  private sumReportedLoads(maxAgeMs: number): UpstreamLoads {
    if (this.role === 'member') {
      const reporter = this.sums.findReporter(maxAgeMs);
      if (!reporter?.message.report) return createDictionary();
      const own = this.findAcknowledged(reporter.message)?.sent.loads ?? {};
      return subtractLoads(reporter.message.report.loads, own);
    }
    const sum: UpstreamLoads = createDictionary();
    for (const { message } of this.sums.listZonePeers(maxAgeMs)) addLoads(sum, message.loads);
    addLoads(sum, this.sums.sumRemoteLoads(maxAgeMs));
    return sum;
  }
}
