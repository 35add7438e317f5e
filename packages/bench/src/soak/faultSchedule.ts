import type { Random } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';

/** Kinds of faults that are drawn from the seed. */
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

/** Operators' changes that every run makes once. */
export type PlannedChange = 'rollout' | 'withdraw-settled' | 'withdraw-candidate';

/** One fault of the schedule. Times are milliseconds after the start of the load. */
export interface ScheduledFault {
  kind: DrawnFault | PlannedChange;
  target: string;
  atMs: number;
  durationMs: number;
}

/** Names of the processes that faults can be drawn for. */
export interface FaultTargets {
  entries: string[];
  engines: string[];
  /** Upstreams that may leave: no proxy can hold a request to them back past the bound. */
  leavers: string[];
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
  // An instance that stops gracefully needs its drain time and then starts again.
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
  'upstream-leave': { targets: 'leavers', minMs: 6000, maxMs: 9000 },
  'operator-race': { targets: 'operators', minMs: 100, maxMs: 100 },
  'crash-marker': { targets: 'callers', minMs: 8000, maxMs: 8000 },
};

/** Part of the run in which faults begin; the rest shows the recovery under load. */
const ACTIVE_SHARE = 0.75;
const MEAN_INTERVAL_MS = 1200;
// A fault on the same target begins only after the target had this time to recover.
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

/** Computes the faults of a run. The same arguments always give the same schedule. */
export function createFaultSchedule(
  seed: number,
  durationMs: number,
  targets: FaultTargets,
): ScheduledFault[] {
  const random = createRandom(seed);
  const faults = drawPlannedChanges(durationMs, random);
  const busyUntilMs = new Map<string, number>();
  let deck: DrawnFault[] = [];
  let atMs = 500 + random.nextInt(MEAN_INTERVAL_MS);
  while (atMs < durationMs * ACTIVE_SHARE) {
    if (deck.length === 0) deck = shuffle(drawnFaults, random);
    const kind = deck.pop() as DrawnFault;
    const shape = shapes[kind];
    const names = shape.targets in targets ? targets[shape.targets as keyof FaultTargets] : [];
    const lengthMs = shape.minMs + random.nextInt(shape.maxMs - shape.minMs + 1);
    const candidates = shuffle(names.length > 0 ? names : [shape.targets], random);
    const free = findFree(candidates, busyUntilMs, atMs);
    // A fault whose targets are all busy is drawn again later.
    if (free === undefined) deck.unshift(kind);
    else {
      faults.push({ kind, target: free, atMs, durationMs: lengthMs });
      busyUntilMs.set(free, atMs + lengthMs + RECOVERY_MS);
    }
    atMs += 200 + random.nextInt(2 * (MEAN_INTERVAL_MS - 200));
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Formats one line of the printed schedule. */
export function formatFault({ kind, target, atMs, durationMs }: ScheduledFault): string {
  const seconds = (ms: number) => `${(ms / 1000).toFixed(1)} s`;
  const length = durationMs > 0 ? `for ${seconds(durationMs)}` : '';
  return `${seconds(atMs).padStart(8)}  ${kind.padEnd(24)} ${target.padEnd(16)} ${length}`.trimEnd();
}
