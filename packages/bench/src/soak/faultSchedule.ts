import type { Random } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';

/** Kinds of faults that a schedule draws at random. */
export const drawnFaults = [
  'entry-kill',
  'entry-restart',
  'entry-pause',
  'api-cut',
  'api-blackhole',
  'api-silence',
  'link-cut',
  'link-blackhole',
  'link-silence',
  'peers-cut',
  'peers-blackhole',
  'peers-silence',
  'platform-outage',
  'platform-silent-outage',
  'platform-slow',
  'platform-lose-answer',
  'platform-late-events',
  'engine-crash',
  'engine-silence',
  'engine-cut-stream',
  'engine-swap-answers',
  'upstream-leave',
  'operator-race',
  'crash-marker',
] as const;

export type DrawnFault = (typeof drawnFaults)[number];

/** Operator changes that every run makes exactly once. */
export type PlannedChange = 'rollout' | 'withdraw-settled' | 'withdraw-candidate';

/** A scheduled fault. `atMs` counts from the start of the load. */
export interface ScheduledFault {
  kind: DrawnFault | PlannedChange;
  target: string;
  atMs: number;
  durationMs: number;
}

/** Names of the processes that faults can target. */
export interface FaultTargets {
  entries: string[];
  engines: string[];
  /**
   * Upstreams that may leave; without a proxy, which could delay a request to them past the bound.
   */
  leavingUpstreams: string[];
  apiProxies: string[];
  linkProxies: string[];
  peersProxies: string[];
}

interface FaultShape {
  targets: keyof FaultTargets | 'platform' | 'operators' | 'callers';
  minMs: number;
  maxMs: number;
}

const shapes: Record<DrawnFault, FaultShape> = {
  'entry-kill': { targets: 'entries', minMs: 500, maxMs: 3000 },
  // Time for an instance to drain, stop and start again.
  'entry-restart': { targets: 'entries', minMs: 4000, maxMs: 4000 },
  'entry-pause': { targets: 'entries', minMs: 500, maxMs: 6000 },
  'api-cut': { targets: 'apiProxies', minMs: 1000, maxMs: 8000 },
  'api-blackhole': { targets: 'apiProxies', minMs: 1000, maxMs: 8000 },
  'api-silence': { targets: 'apiProxies', minMs: 3000, maxMs: 10_000 },
  'link-cut': { targets: 'linkProxies', minMs: 500, maxMs: 4000 },
  'link-blackhole': { targets: 'linkProxies', minMs: 500, maxMs: 6000 },
  'link-silence': { targets: 'linkProxies', minMs: 3000, maxMs: 10_000 },
  'peers-cut': { targets: 'peersProxies', minMs: 1000, maxMs: 6000 },
  'peers-blackhole': { targets: 'peersProxies', minMs: 1000, maxMs: 6000 },
  'peers-silence': { targets: 'peersProxies', minMs: 3000, maxMs: 10_000 },
  'platform-outage': { targets: 'platform', minMs: 1000, maxMs: 6000 },
  'platform-silent-outage': { targets: 'platform', minMs: 1000, maxMs: 6000 },
  'platform-slow': { targets: 'platform', minMs: 1000, maxMs: 6000 },
  'platform-lose-answer': { targets: 'platform', minMs: 1000, maxMs: 5000 },
  'platform-late-events': { targets: 'platform', minMs: 1000, maxMs: 5000 },
  'engine-crash': { targets: 'engines', minMs: 300, maxMs: 1500 },
  'engine-silence': { targets: 'engines', minMs: 100, maxMs: 100 },
  'engine-cut-stream': { targets: 'engines', minMs: 1000, maxMs: 4000 },
  'engine-swap-answers': { targets: 'engines', minMs: 1000, maxMs: 4000 },
  'upstream-leave': { targets: 'leavingUpstreams', minMs: 6000, maxMs: 9000 },
  'operator-race': { targets: 'operators', minMs: 100, maxMs: 100 },
  'crash-marker': { targets: 'callers', minMs: 8000, maxMs: 8000 },
};

/** Share of the run in which faults start; the rest tests the recovery under load. */
const ACTIVE_SHARE = 0.75;
const MEAN_INTERVAL_MS = 1200;
// Minimum time between two faults on the same target, for its recovery.
const RECOVERY_MS = 2500;

function shuffle<T>(items: readonly T[], random: Random): T[] {
  const rest = [...items];
  return items.map(() => rest.splice(random.nextInt(rest.length), 1)[0] as T);
}

function drawPlannedChanges(durationMs: number, random: Random): ScheduledFault[] {
  const plan: [kind: PlannedChange, target: string, share: number][] = [
    ['withdraw-settled', 'small@2', 0.05],
    ['rollout', 'small@3', 0.1],
    ['withdraw-candidate', 'small@3', 0.4],
  ];
  return plan.map(([kind, target, share]) => {
    const atMs = Math.round((share + random.next() * 0.1) * durationMs);
    return { kind, target, atMs, durationMs: 0 };
  });
}

function findFree(
  names: readonly string[],
  busyUntilMs: ReadonlyMap<string, number>,
  atMs: number,
): string | undefined {
  return names.find((name) => (busyUntilMs.get(name) ?? 0) <= atMs);
}

/** Creates the fault schedule of a run, which depends on the arguments only. */
export function createFaultSchedule(
  seed: number,
  durationMs: number,
  targets: FaultTargets,
): ScheduledFault[] {
  const random = createRandom(seed);
  const faults = drawPlannedChanges(durationMs, random);
  const busyUntilMs = new Map<string, number>();
  let remainingKinds: DrawnFault[] = [];
  let atMs = 500 + random.nextInt(MEAN_INTERVAL_MS);
  while (atMs < durationMs * ACTIVE_SHARE) {
    if (remainingKinds.length === 0) remainingKinds = shuffle(drawnFaults, random);
    const kind = remainingKinds.pop() as DrawnFault;
    const shape = shapes[kind];
    const names = shape.targets in targets ? targets[shape.targets as keyof FaultTargets] : [];
    const lengthMs = shape.minMs + random.nextInt(shape.maxMs - shape.minMs + 1);
    const candidates = shuffle(names.length > 0 ? names : [shape.targets], random);
    const free = findFree(candidates, busyUntilMs, atMs);
    // If all targets of the fault are busy, it is retried later.
    if (free === undefined) remainingKinds.unshift(kind);
    else {
      faults.push({ kind, target: free, atMs, durationMs: lengthMs });
      busyUntilMs.set(free, atMs + lengthMs + RECOVERY_MS);
    }
    atMs += 200 + random.nextInt(2 * (MEAN_INTERVAL_MS - 200));
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Formats a fault as one line of the printed schedule. */
export function formatFault({ kind, target, atMs, durationMs }: ScheduledFault): string {
  const seconds = (ms: number) => `${(ms / 1000).toFixed(1)} s`;
  const length = durationMs > 0 ? `for ${seconds(durationMs)}` : '';
  return `${seconds(atMs).padStart(8)}  ${kind.padEnd(24)} ${target.padEnd(16)} ${length}`.trimEnd();
}
