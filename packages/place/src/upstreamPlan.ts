import type { ClusterUpstream } from './clusterConfig.js';
import type {
  ClusterEngines,
  ClusterModel,
  ClusterOptions,
  ClusterServices,
  ClusterZone,
} from './clusterOptions.js';

/** An upstream that is about to start: its object without the URL, and its settings. */
export interface UpstreamPlan {
  upstream: Omit<ClusterUpstream, 'url'>;
  settings: Record<string, unknown>;
}

const DEFAULT_MEAN_QUALITY = 0.8;
const PLATFORM_PROCESSES = ['platform', 'weights', 'rater'];

/** Returns the mean quality by `model@version`, as engines and the rating service take it. */
export function createQualityTable(models: ClusterModel[]): Record<string, number> {
  return Object.fromEntries(
    models.flatMap((model) =>
      model.versions.map(({ version, quality }) => [
        `${model.name}@${version}`,
        quality ?? DEFAULT_MEAN_QUALITY,
      ]),
    ),
  );
}

function planEngine(
  zone: string,
  name: string,
  engines: ClusterEngines,
  quality: Record<string, number>,
): UpstreamPlan {
  const versions = engines.versions.map((text) => {
    const [model = '', version = ''] = text.split('@');
    return { model, version };
  });
  const checksFencing = engines.options?.checksFencing ?? true;
  return {
    upstream: { name, kind: 'engine', zone, service: '', checksFencing, nonIdempotent: false },
    settings: { quality, ...engines.options, name, zone, versions, checksFencing },
  };
}

function planService(zone: string, name: string, services: ClusterServices): UpstreamPlan {
  const { service, nonIdempotent = true, options } = services;
  return {
    upstream: { name, kind: 'service', zone, service, checksFencing: false, nonIdempotent },
    settings: { ...options, name, zone },
  };
}

/** Names the upstreams of a zone and creates their settings. */
export function planUpstreams(zone: ClusterZone, models: ClusterModel[]): UpstreamPlan[] {
  const quality = createQualityTable(models);
  const engines = (zone.engines ?? []).flatMap((entry) =>
    Array.from({ length: entry.count ?? 1 }, () => entry),
  );
  const services = (zone.services ?? []).flatMap((entry) =>
    Array.from({ length: entry.count ?? 1 }, (_, index) => ({ entry, number: index + 1 })),
  );
  return [
    ...engines.map((entry, index) =>
      planEngine(zone.name, `${zone.name}-engine-${index + 1}`, entry, quality),
    ),
    ...services.map(({ entry, number }) =>
      planService(zone.name, `${zone.name}-${entry.service}-${number}`, entry),
    ),
  ];
}

/** Throws if a proxy is configured for a link that the cluster does not have. */
export function checkProxies(options: ClusterOptions): void {
  const upstreams = options.zones.flatMap((zone) => planUpstreams(zone, options.models));
  const entries = options.zones.flatMap((zone) =>
    Array.from({ length: zone.entries ?? 1 }, (_, index) => `${zone.name}-${index + 1}`),
  );
  const shared = [...upstreams.map(({ upstream }) => upstream.name), ...entries];
  for (const { name, from, to } of options.proxies ?? []) {
    if (![...PLATFORM_PROCESSES, ...shared].includes(to)) {
      const known = [...PLATFORM_PROCESSES, ...shared].join(', ');
      throw new Error(`proxy ${name}: there is no process "${to}"; use one of: ${known}`);
    }
    if (shared.includes(to) && from !== '*') {
      throw new Error(`proxy ${name}: ${to} publishes one address for all; set "from" to "*"`);
    }
  }
}
