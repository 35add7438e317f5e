import { MemberCluster } from '../model/memberCluster.js';
import type { Scenario } from '../scenario.js';

interface ClusterSize {
  instances: number;
  zones: number;
}

const SIZES: ClusterSize[] = [
  { instances: 7, zones: 3 },
  { instances: 20, zones: 4 },
  { instances: 60, zones: 4 },
  { instances: 120, zones: 8 },
  { instances: 830, zones: 20 },
];
const QUICK_SIZES = 3;

const SETTLE_ROUNDS = 40;
const MEASURED_ROUNDS = 20;
const MAX_ROUNDS = 300;
const NEW_REVISION = 2;
const KILOBYTE = 1000;

interface ClusterFigures {
  convergedRounds: number;
  meanBytes: number;
  highestBytes: number;
  largestMessageBytes: number;
  acknowledgedRounds: number;
}

/** Whether the zone summaries at the first instance show the new revision in every zone. */
function isAcknowledged(cluster: MemberCluster): boolean {
  return cluster.nodes[0]!.membership.getZoneSummaries().every(
    (summary) => summary.lowestAppliedRevision >= NEW_REVISION,
  );
}

async function measureCluster(size: ClusterSize, seed: number): Promise<ClusterFigures> {
  let revision = 1;
  const cluster = new MemberCluster(seed, { getAppliedRevision: () => revision });
  const zones = Array.from({ length: size.zones }, (_, index) => `zone-${index}`);
  cluster.startMany(size.instances, zones);
  const convergedRounds = await cluster.runUntil(
    'all instances agree on the members and the zones',
    () => cluster.isConverged() && cluster.areZonesConverged(),
    MAX_ROUNDS,
  );
  await cluster.runRounds(SETTLE_ROUNDS);
  for (const node of cluster.nodes) node.bytesSent = 0;
  cluster.largestMessageBytes = 0;
  await cluster.runRounds(MEASURED_ROUNDS);
  const bytes = cluster.nodes.map((node) => node.bytesSent / MEASURED_ROUNDS);
  const { largestMessageBytes } = cluster;
  revision = NEW_REVISION;
  const acknowledgedRounds = await cluster.runUntil(
    'one instance sees the new revision in every zone',
    () => isAcknowledged(cluster),
    MAX_ROUNDS,
  );
  return {
    convergedRounds,
    meanBytes: bytes.reduce((sum, each) => sum + each, 0) / bytes.length,
    highestBytes: Math.max(...bytes),
    largestMessageBytes,
    acknowledgedRounds,
  };
}

/**
 * Measures traffic and convergence time of the exchanges between instances; a round is one second.
 */
export const membership: Scenario = {
  summary: 'bytes per instance and rounds until members agree and a change is acknowledged',
  async run({ seed, quick }) {
    const rows: (string | number)[][] = [];
    const points: { x: number; y: number }[] = [];
    for (const size of quick ? SIZES.slice(0, QUICK_SIZES) : SIZES) {
      const figures = await measureCluster(size, seed);
      points.push({ x: size.instances, y: figures.meanBytes / KILOBYTE });
      rows.push([
        size.instances,
        size.zones,
        figures.convergedRounds,
        (figures.meanBytes / KILOBYTE).toFixed(2),
        (figures.highestBytes / KILOBYTE).toFixed(2),
        figures.largestMessageBytes,
        figures.acknowledgedRounds,
      ]);
    }
    return {
      scenario: 'membership',
      seed,
      quick,
      tables: [
        {
          title: 'Exchanges between instances, all started at once',
          columns: [
            'instances',
            'zones',
            'rounds to agree',
            'KB/s sent, mean',
            'KB/s sent, highest',
            'largest message B',
            'rounds to acknowledge',
          ],
          rows,
        },
      ],
      plots: [
        {
          title: 'Membership traffic of one instance',
          xLabel: 'instances',
          yLabel: 'KB/s sent',
          series: [{ name: 'mean', points }],
        },
      ],
    };
  },
};
