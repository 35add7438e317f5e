import { platformDialect } from '@cactusstair/platform';
import { findFreePorts } from '@cactusstair/place';
import { EventLog, RelayNode } from '@cactusstair/relay';
import type {
  ChangeSource,
  PeerRecord,
  RelayConfig,
  RelayStore,
  RolloutOrder,
  RolloutProgress,
  SourceFailure,
  UpstreamRecord,
  WriteOutcome,
  ZoneEvacuation,
} from '@cactusstair/relay';
import { waitFor } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err } from 'neverthrow';

import { sendRequest } from './caller.js';
import { MemorySource } from './memorySource.js';
import { createRecord } from './records.js';
import { testBounds } from './relayFixture.js';
import { formatAnswer, ScriptedUpstream } from './scriptedUpstream.js';

const HOST = '127.0.0.1';

/** How many of the last changes of each kind a restore loses. */
interface LostWrites {
  config?: number;
  upstreams?: number;
  rollouts?: number;
  peers?: number;
}

/** In-memory store that several instances share and that can be restored from an older copy. */
export class SharedStore {
  readonly config = new MemorySource<RelayConfig>();

  readonly upstreams = new MemorySource<UpstreamRecord>();

  readonly rollouts = new MemorySource<RolloutOrder>();

  readonly evacuations = new MemorySource<ZoneEvacuation>();

  readonly peers = new MemorySource<PeerRecord>();

  /** Progress that was stored. */
  readonly progress: RolloutProgress[] = [];

  constructor() {
    for (const source of this.sources) source.era = 1;
  }

  get sources() {
    return [this.config, this.upstreams, this.rollouts, this.evacuations, this.peers];
  }

  /** Restores all kinds in the next era; `outageMs` passes before the store answers again. */
  async restore(lost: LostWrites, outageMs = 0): Promise<void> {
    this.setDown(outageMs > 0);
    for (const name of ['config', 'upstreams', 'rollouts', 'peers'] as const) {
      this[name].restore(lost[name] ?? 0);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, outageMs);
    });
    this.setDown(false);
  }

  /** Raises all revisions by `count`, as writes of other objects do. */
  skipRevisions(count: number): void {
    for (const source of this.sources) source.skipRevisions(count);
  }

  setDown(isDown: boolean): void {
    for (const source of this.sources) {
      source.isDown = isDown;
      if (isDown) source.wake();
    }
  }
}

/** The way of one instance to the store. */
class StoreLink implements RelayStore {
  isCut = false;

  private era: number | undefined;

  readonly config: ChangeSource<RelayConfig>;

  readonly upstreams: ChangeSource<UpstreamRecord>;

  readonly rollouts: ChangeSource<RolloutOrder>;

  readonly evacuations: ChangeSource<ZoneEvacuation>;

  readonly peers: ChangeSource<PeerRecord>;

  constructor(private readonly store: SharedStore) {
    this.config = this.createSource(store.config);
    this.upstreams = this.createSource(store.upstreams);
    this.rollouts = this.createSource(store.rollouts);
    this.evacuations = this.createSource(store.evacuations);
    this.peers = this.createSource(store.peers);
  }

  getEra(): number | undefined {
    return this.era;
  }

  putProgress(name: string, revision: number, progress: RolloutProgress): Promise<WriteOutcome> {
    const { rollouts } = this.store;
    if (this.isCut || rollouts.isDown) return Promise.resolve('refused');
    const order = rollouts.get(name);
    if (!order || rollouts.getRevision(name) !== revision) return Promise.resolve('conflict');
    this.store.progress.push(progress);
    rollouts.put(name, { ...order, ...progress });
    return Promise.resolve('written');
  }

  announce(record: PeerRecord): Promise<WriteOutcome> {
    if (this.isCut || this.store.peers.isDown) return Promise.resolve('refused');
    this.store.peers.put(record.name, record);
    return Promise.resolve('written');
  }

  private createSource<T>(source: MemorySource<T>): ChangeSource<T> {
    const read = async <A extends { era?: number }>(
      call: () => Promise<Result<A, SourceFailure>>,
    ): Promise<Result<A, SourceFailure>> => {
      const cut = err({ type: 'unavailable' as const, message: 'cut' });
      if (this.isCut) return cut;
      const result = await call();
      // A call that was waiting when the link was cut gets no answer.
      if (this.isCut) return cut;
      const { era } = result.isOk() ? result.value : result.error;
      if (era !== undefined) this.era = Math.max(era, this.era ?? era);
      return result;
    };
    return {
      list: () => read(() => source.list()),
      poll: (revision, waitMs) => read(() => source.poll(revision, waitMs)),
    };
  }
}

interface Instance {
  node: RelayNode;
  link: StoreLink;
  callerPort: number;
  lines: string[];
}

/** Several relays that share a store and exchange messages. */
export class FleetFixture {
  readonly store = new SharedStore();

  readonly instances: Instance[] = [];

  readonly upstreams: ScriptedUpstream[] = [];

  private started = 0;

  /** Starts one more instance. */
  async start(): Promise<Instance> {
    const [callerPort, readinessPort, peerPort] = (await findFreePorts(3)) as [
      number,
      number,
      number,
    ];
    this.started += 1;
    const link = new StoreLink(this.store);
    const lines: string[] = [];
    const sink = { write: (text: string) => lines.push(text) > 0, once: () => undefined };
    const node = new RelayNode({
      name: `instance-${this.started}`,
      zone: 'zone-1',
      capacity: 1,
      callers: { host: HOST, port: callerPort },
      readiness: { host: HOST, port: readinessPort },
      readinessPath: '/readiness',
      peers: { host: HOST, port: peerPort },
      seedHosts: [],
      bounds: testBounds,
      store: link,
      dialect: platformDialect,
      log: new EventLog({ fields: {}, sink }),
    });
    const instance = { node, link, callerPort, lines };
    this.instances.push(instance);
    await node.start();
    return instance;
  }

  /** Starts `count` instances and waits until they are ready and know each other. */
  async open(count: number): Promise<void> {
    for (let started = 0; started < count; started += 1) await this.start();
    await waitFor(() => this.instances.every(({ node }) => node.isReady), {
      what: 'the instances to be ready',
      timeoutMs: 5000,
    });
    for (const { lines } of this.instances) {
      await waitFor(() => lines.join('').split('"event":"peer_seen"').length === count, {
        what: 'the peers to be seen',
        timeoutMs: 5000,
      });
    }
  }

  async addUpstream(
    id: string,
    overrides: Partial<UpstreamRecord> = {},
  ): Promise<ScriptedUpstream> {
    const upstream = await ScriptedUpstream.open((socket, request) =>
      socket.end(formatAnswer(request, 200, 'ok')),
    );
    this.upstreams.push(upstream);
    this.store.upstreams.put(id, createRecord(id, { port: upstream.port, ...overrides }));
    return upstream;
  }

  /** Waits until the log of each of `instances` contains a text. */
  async waitForLines(text: string, instances: readonly Instance[] = this.instances) {
    for (const { lines } of instances) {
      await waitFor(() => lines.join('').includes(text), { what: text, timeoutMs: 5000 });
    }
  }

  /** Sends requests to an instance for a time and returns their statuses. */
  async sendFor(durationMs: number, { callerPort }: Instance): Promise<number[]> {
    const statuses: number[] = [];
    const endMs = performance.now() + durationMs;
    do {
      statuses.push((await sendRequest(callerPort, { path: '/app/item' })).status);
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
    } while (performance.now() < endMs);
    return statuses;
  }

  async close(): Promise<void> {
    const closed = this.instances.map(({ node }) => node.close());
    this.store.setDown(true);
    await Promise.all(closed);
    for (const upstream of this.upstreams) await upstream.close();
  }
}
