import { createSocket } from 'node:dgram';

import type { ClockReading, ViewName, ViewState } from '@cactusstair/relay';
import {
  EngineEstimators,
  PeerExchange,
  RolloutRouter,
  UpstreamCapacities,
  UpstreamDirectory,
} from '@cactusstair/relay';
import { CrashAttribution, UpstreamLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';

import { createRecord } from './records.js';

/** An instance of which only the exchange with its peers runs. */
export interface Instance {
  exchange: PeerExchange;
  directory: UpstreamDirectory;
  crashes: CrashAttribution;
  limits: UpstreamLimits;
  engines: EngineEstimators;
  capacities: UpstreamCapacities;
  rollouts: RolloutRouter;
  views: Partial<Record<ViewName, ViewState>>;
  receivedViews: { name: ViewName; state: string; since: ClockReading }[];
  port: number;
  stop: AbortController;
  task: Promise<void>;
}

function findPort(): Promise<number> {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });
}

/** Opens an instance that exchanges messages, on a free port. */
export async function openInstance(
  name: string,
  zone = 'zone-1',
  capacity = 1,
  clock: Clock = systemClock,
): Promise<Instance> {
  const directory = new UpstreamDirectory({
    clock,
    isStoreDisturbed: () => false,
    getStoreRestoredAgeMs: () => Infinity,
  });
  const value = createRecord('upstream');
  directory.applySnapshot([{ name: 'upstream', revision: 1, value }]);
  const crashes = new CrashAttribution({ clock, minHistoryMs: 0 });
  const rollouts = new RolloutRouter({ clock, sessionTtlMs: 5000, canaryShare: 0.15 });
  const port = await findPort();
  const engines = new EngineEstimators();
  const capacities = new UpstreamCapacities({ clock, listUpstreams: () => directory.listAll() });
  const limits = new UpstreamLimits({
    clock,
    getGroup: () => typed.exchange.describeGroup(),
    findUpstream: () => ({ pool: 'app v1', zone }),
  });
  const parts = { directory, crashes, limits, engines, capacities, rollouts };
  const instance = { ...parts, views: {}, receivedViews: [], port };
  const typed = instance as unknown as Instance;
  typed.exchange = new PeerExchange({
    clock,
    self: { host: '127.0.0.1', port: instance.port, name, zone, capacity },
    ...parts,
    listViews: () => typed.views,
    onPeerView: (view, state, since) => typed.receivedViews.push({ name: view, state, since }),
  });
  await typed.exchange.start();
  return typed;
}
