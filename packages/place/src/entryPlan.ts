import { findFreePorts } from './freePorts.js';
import type { ClusterOptions, ClusterZone } from './clusterOptions.js';

/** Name, zone and ports of an entry instance that is about to start. */
export interface EntryPlan {
  name: string;
  zone: ClusterZone;
  ports: { callers: number; operators: number; peers: number; metrics: number };
  /** Address that the other instances use: its own or that of a proxy. */
  peersAddress: string;
}

/** Inputs for the settings of an entry instance in addition to its plan. */
export interface EntrySettingsContext {
  options: ClusterOptions;
  clusterKeyFile: string;
  /** Returns the address at which the instance reaches a process. */
  resolveAddress: (target: string) => string;
}

const PORTS_PER_ENTRY = 4;

/** Names the entry instances of all zones and finds free ports for them. */
export async function planEntries(zones: ClusterZone[]): Promise<EntryPlan[]> {
  const named = zones.flatMap((zone) =>
    Array.from({ length: zone.entries ?? 1 }, (_, index) => ({
      name: `${zone.name}-${index + 1}`,
      zone,
    })),
  );
  const ports = await findFreePorts(named.length * PORTS_PER_ENTRY);
  return named.map((entry) => {
    const [callers = 0, operators = 0, peers = 0, metrics = 0] = ports.splice(0, PORTS_PER_ENTRY);
    return {
      ...entry,
      ports: { callers, operators, peers, metrics },
      peersAddress: `127.0.0.1:${peers}`,
    };
  });
}

/** Creates the settings of an entry instance; section 6 of docs/design.md describes them. */
export function createEntrySettings(
  plan: EntryPlan,
  plans: EntryPlan[],
  context: EntrySettingsContext,
): Record<string, unknown> {
  const { name, zone, ports } = plan;
  const { options, clusterKeyFile, resolveAddress } = context;
  const listen = Object.entries(ports).map(([key, port]) => [key, `127.0.0.1:${port}`]);
  return {
    instance: { id: name, region: zone.region ?? options.region ?? 'local', zone: zone.name },
    listen: Object.fromEntries(listen),
    advertise: { peers: plan.peersAddress },
    platform: {
      objectApi: `http://${resolveAddress('platform')}`,
      weightStore: `http://${resolveAddress('weights')}`,
      rating: `http://${resolveAddress('rater')}`,
    },
    peers: {
      seeds: plans.filter((other) => other.name !== name).map((other) => other.peersAddress),
      clusterKeyFile,
    },
    ...options.entrySettings,
  };
}
