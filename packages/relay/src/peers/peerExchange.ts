import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import type { CrashCounter } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { ClockReading } from '../follow/beliefAge.js';
import { readClocks } from '../follow/beliefAge.js';
import type { SocketAddress } from '../relayOptions.js';
import type { RolloutBoard } from '../rollouts/rolloutBoard.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import type { PeerLoad } from '../upstreams/upstream.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { Echo, PeerMessage, UpstreamLoad, ViewName, ViewState } from './peerMessage.js';
import { parsePeerMessage } from './peerMessage.js';

/** Options of `PeerExchange`. */
export interface PeerExchangeOptions {
  clock: Clock;
  name: string;
  listen: SocketAddress;
  directory: UpstreamDirectory;
  rollouts: RolloutBoard;
  crashes: CrashCounter;
  /** Returns the states that this instance has confirmed. */
  listViews: () => Partial<Record<ViewName, ViewState>>;
  /** Called when a peer has confirmed a state by a read that began no earlier than `since`. */
  onPeerView: (name: ViewName, state: string, since: ClockReading) => void;
  onEvent?: (event: 'peer_seen' | 'peer_lost', name: string) => void;
}

interface Peer {
  message: PeerMessage;
  heardAtMs: number;
  heardAtWallMs: number;
}

const SEND_INTERVAL_MS = 250;
/** Peers that get each message; all of them learn from each other within a few rounds. */
const MAX_RECEIVERS = 12;
/** After this silence a peer's load counts no longer. */
const STALE_AFTER_MS = 1500;
/** After this silence a peer counts as gone. */
const LOST_AFTER_MS = 3000;
const MAX_CRASH_ENTRIES = 20;
/** Messages whose sending time is kept; at four a second, echoes older than this prove nothing new. */
const KEPT_SENDINGS = 32;

/**
 * Exchanges load, evidence and crash counts with the other instances by datagrams. Each message is
 * a whole state, so a lost one is made good by the next, and no connection can go silent.
 */
export class PeerExchange {
  private readonly socket: Socket = createSocket('udp4');

  private readonly addresses = new Map<string, SocketAddress>();

  private readonly peers = new Map<string, Peer>();

  private readonly incarnation: number;

  private readonly sentAt = new Map<number, ClockReading>();

  private sequence = 0;

  private isLeaving = false;

  constructor(private readonly options: PeerExchangeOptions) {
    this.incarnation = options.clock.wallMs();
  }

  /** Opens the socket. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.options.listen.port, this.options.listen.host, () => {
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
    const { listen } = this.options;
    if (address.host === listen.host && address.port === listen.port) return;
    this.addresses.set(`${address.host}:${address.port}`, address);
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

  /** Names of the living instances in order, this one included. */
  listLiving(): string[] {
    const nowMs = this.options.clock.monotonicMs();
    const living = this.isLeaving ? [] : [this.options.name];
    for (const [name, { message, heardAtMs }] of this.peers) {
      if (!message.isLeaving && nowMs - heardAtMs < LOST_AFTER_MS) living.push(name);
    }
    return living.sort();
  }

  /** Position of this instance among the living ones; the last one while it leaves. */
  getRank(): number {
    const living = this.listLiving();
    const rank = living.indexOf(this.options.name);
    return rank < 0 ? living.length : rank;
  }

  listEvidence(): Record<string, EvidenceSums>[] {
    const own = this.options.rollouts.exportEvidence();
    return [own, ...[...this.peers.values()].map(({ message }) => message.evidence)];
  }

  private send(): void {
    const bytes = Buffer.from(JSON.stringify(this.createMessage()));
    for (const { host, port } of this.chooseReceivers()) {
      this.socket.send(bytes, port, host, () => {});
    }
  }

  private createMessage(): PeerMessage {
    const loads: Record<string, UpstreamLoad> = {};
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
    this.sequence += 1;
    this.sentAt.set(this.sequence, readClocks(this.options.clock));
    this.sentAt.delete(this.sequence - KEPT_SENDINGS);
    return {
      name: this.options.name,
      incarnation: this.incarnation,
      sequence: this.sequence,
      isLeaving: this.isLeaving,
      loads,
      evidence: this.options.rollouts.exportEvidence(),
      crashes: this.options.crashes.exportEntries(MAX_CRASH_ENTRIES),
      pins: this.options.rollouts.exportPins(),
      views: this.options.listViews(),
      echoes: this.listEchoes(),
    };
  }

  private listEchoes(): Record<string, Echo> {
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    const echoes: Record<string, Echo> = {};
    for (const [name, { message, heardAtMs, heardAtWallMs }] of this.peers) {
      if (monotonicMs - heardAtMs > STALE_AFTER_MS) continue;
      // The smaller time is the safe one: the receiver adds it to its own time of sending.
      const heldMs = Math.max(0, Math.min(monotonicMs - heardAtMs, wallMs - heardAtWallMs));
      echoes[name] = [message.incarnation, message.sequence, heldMs];
    }
    return echoes;
  }

  /**
   * Passes on what a peer has confirmed. The peer heard our message no earlier than it was sent,
   * held it for `heldMs` and confirmed its view `ageMs` before it answered, so the read began no
   * earlier than these say, whatever time the datagrams took.
   */
  private applyViews(message: PeerMessage): void {
    const echo = message.echoes[this.options.name];
    if (!echo) return;
    const [incarnation, sequence, heldMs] = echo;
    const sentAt = incarnation === this.incarnation ? this.sentAt.get(sequence) : undefined;
    if (!sentAt) return;
    for (const [name, [state, ageMs]] of Object.entries(message.views)) {
      const shiftMs = heldMs - ageMs;
      this.options.onPeerView(name as ViewName, state, {
        monotonicMs: sentAt.monotonicMs + shiftMs,
        wallMs: sentAt.wallMs + shiftMs,
      });
    }
  }

  private chooseReceivers(): SocketAddress[] {
    const all = [...this.addresses.values()];
    if (all.length <= MAX_RECEIVERS) return all;
    for (let index = 0; index < MAX_RECEIVERS; index += 1) {
      const other = index + Math.floor(Math.random() * (all.length - index));
      [all[index], all[other]] = [all[other]!, all[index]!];
    }
    return all.slice(0, MAX_RECEIVERS);
  }

  private receive(bytes: Buffer, sender: SocketAddress): void {
    const message = parsePeerMessage(bytes);
    if (!message || message.name === this.options.name) return;
    const known = this.peers.get(message.name);
    if (known && !isNewer(message, known.message)) return;
    if (!known) this.options.onEvent?.('peer_seen', message.name);
    this.addAddress(sender);
    const { monotonicMs, wallMs } = readClocks(this.options.clock);
    this.peers.set(message.name, { message, heardAtMs: monotonicMs, heardAtWallMs: wallMs });
    this.options.crashes.importEntries(message.crashes);
    this.options.rollouts.importPins(message.pins);
    this.applyViews(message);
  }

  /** Sums the peers' loads into the upstreams. */
  private applyLoads(): void {
    const nowMs = this.options.clock.monotonicMs();
    const sums = new Map<string, PeerLoad>();
    for (const { message, heardAtMs } of this.peers.values()) {
      if (nowMs - heardAtMs > STALE_AFTER_MS) continue;
      for (const [id, load] of Object.entries(message.loads)) {
        const [running, backlogMs, heldTokens] = load;
        const sum = sums.get(id) ?? { running: 0, backlogMs: 0, heldTokens: 0 };
        sum.running += running;
        sum.backlogMs += backlogMs;
        sum.heldTokens += heldTokens;
        sums.set(id, sum);
      }
    }
    for (const upstream of this.options.directory.listAll()) {
      upstream.peerLoad = sums.get(upstream.id) ?? { running: 0, backlogMs: 0, heldTokens: 0 };
    }
  }

  /** Counts the requests that living instances have at one upstream. */
  countPeerCalls(upstreamId: string): number {
    const nowMs = this.options.clock.monotonicMs();
    let count = 0;
    for (const { message, heardAtMs } of this.peers.values()) {
      if (nowMs - heardAtMs < LOST_AFTER_MS) count += message.loads[upstreamId]?.[0] ?? 0;
    }
    return count;
  }
}

function isNewer(message: PeerMessage, known: PeerMessage): boolean {
  if (message.incarnation !== known.incarnation) return message.incarnation > known.incarnation;
  return message.sequence > known.sequence;
}
