import type { ExchangeTransport, MembershipOptions } from '@cactusstair/coordination';
import { Membership, MembershipTask } from '@cactusstair/coordination';
import type { MemberRecord } from '@cactusstair/protocol';
import { ExchangeReply, ExchangeRequest, MemberStatus } from '@cactusstair/protocol';
import type { Random } from '@cactusstair/utils';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';

/** One simulated instance. */
export interface ClusterNode {
  id: string;
  zone: string;
  address: string;
  membership: Membership;
  task: MembershipTask;
  lost: MemberRecord[];
  /** Whether the node answers exchanges and runs rounds. */
  running: boolean;
  bytesSent: number;
}

const ROUND_MS = 1000;

/**
 * Simulated instances that exchange membership in rounds of one second over a simulated network.
 */
export class MemberCluster {
  readonly clock = new ManualClock(1_000_000);

  readonly nodes: ClusterNode[] = [];

  /** Whether a message from one node reaches another. */
  isReachable: (from: ClusterNode, to: ClusterNode) => boolean = () => true;

  /** Share of exchanges whose request or reply is lost. */
  lossRate = 0;

  largestMessageBytes = 0;

  private readonly random: Random;

  constructor(
    private readonly seed: number,
    private readonly options: Partial<MembershipOptions> = {},
  ) {
    this.random = createRandom(seed);
  }

  /** Starts a node; replaces a stopped node of the same id. */
  start(id: string, zone: string, options: Partial<MembershipOptions> = {}): ClusterNode {
    const address = `${id}:1`;
    const random = createRandom(this.seed + this.nodes.length * 7919 + this.clock.wallMs());
    const membership = new Membership({
      clock: this.clock,
      random,
      id,
      region: 'lv-central',
      zone,
      peersAddress: address,
      ...this.options,
      ...options,
    });
    const [seed] = this.nodes;
    const node: ClusterNode = {
      id,
      zone,
      address,
      membership,
      task: new MembershipTask({
        membership,
        exchange: (target, request) => this.deliver(node, target, request),
        clock: this.clock,
        random,
        lifecycle: new LifecycleManager(),
        seeds: [seed?.address ?? address],
      }),
      lost: [],
      running: true,
      bytesSent: 0,
    };
    membership.onLost((record) => node.lost.push(record));
    const index = this.nodes.findIndex((other) => other.id === id);
    if (index >= 0) this.nodes[index] = node;
    else this.nodes.push(node);
    return node;
  }

  /** Starts nodes `{zone}-{n}` spread evenly over the zones. */
  startMany(count: number, zones: readonly string[]): void {
    for (let index = 0; index < count; index += 1) {
      const zone = zones[index % zones.length] ?? '';
      this.start(`${zone}-${String(index).padStart(3, '0')}`, zone);
    }
  }

  get running(): ClusterNode[] {
    return this.nodes.filter((node) => node.running);
  }

  /** Runs one round on every running node. */
  async runRound(): Promise<void> {
    for (const node of this.running) await node.task.runRound();
    await this.clock.advance(ROUND_MS);
  }

  async runRounds(count: number): Promise<void> {
    for (let round = 0; round < count; round += 1) await this.runRound();
  }

  /** Runs rounds until `check` returns true and returns their number. */
  async runUntil(condition: string, check: () => boolean, maxRounds: number): Promise<number> {
    for (let round = 0; round <= maxRounds; round += 1) {
      if (check()) return round;
      await this.runRound();
    }
    throw new Error(`${maxRounds} rounds passed without: ${condition}`);
  }

  /** Whether the alive members at every running node are exactly the running nodes of its zone. */
  isConverged(): boolean {
    return this.running.every((node) => {
      const expected = this.running.filter((other) => other.zone === node.zone);
      const alive = node.membership
        .getMembers()
        .filter((record) => record.status === MemberStatus.ALIVE);
      return (
        alive.length === expected.length &&
        expected.every(({ id, membership }) =>
          node.membership.isAlive(id, membership.getSelf().incarnation),
        )
      );
    });
  }

  /**
   * Whether every running node has a summary of each zone with the correct number of alive members.
   */
  areZonesConverged(): boolean {
    const zones = [...new Set(this.running.map((node) => node.zone))];
    return this.running.every((node) => {
      const summaries = node.membership.getZoneSummaries();
      return zones.every((zone) => {
        const expected = this.running.filter((other) => other.zone === zone).length;
        return summaries.some((summary) => summary.zone === zone && summary.alive === expected);
      });
    });
  }

  private readonly deliver = async (
    from: ClusterNode,
    address: string,
    request: Parameters<ExchangeTransport>[1],
  ): ReturnType<ExchangeTransport> => {
    const to = this.nodes.find((node) => node.address === address);
    const sent = ExchangeRequest.encode(request).finish();
    this.countBytes(from, sent.length);
    if (!to?.running || !this.isReachable(from, to) || this.random.next() < this.lossRate) {
      throw new Error(`${address} cannot be reached`);
    }
    const reply = ExchangeReply.encode(
      to.task.handleExchange(ExchangeRequest.decode(sent)),
    ).finish();
    this.countBytes(to, reply.length);
    if (!this.isReachable(to, from) || this.random.next() < this.lossRate) {
      throw new Error(`the reply of ${address} was lost`);
    }
    return ExchangeReply.decode(reply);
  };

  private countBytes(node: ClusterNode, bytes: number): void {
    node.bytesSent += bytes;
    this.largestMessageBytes = Math.max(this.largestMessageBytes, bytes);
  }
}
