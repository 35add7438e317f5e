/** One crash and the traits under suspicion. */
export interface CrashSuspects {
  /** When it was noticed, in milliseconds on any clock that all crashes share. */
  atMs: number;
  suspects: ReadonlySet<string>;
}

/** What requests that crash upstreams have in common. */
export interface CrashCause {
  /** A request is refused if it has all of these; several were in flight at the same crashes. */
  traits: string[];
  /** Number of crashes that they explain. */
  crashCount: number;
}

/** What is known of a trait beside the crashes. */
export interface TraitHistory {
  /** Whether requests with the trait have made progress at any time. */
  hasProgressed: (trait: string) => boolean;
  /** Whether the trait was the only trait of an earlier cause. */
  isPastCause: (trait: string) => boolean;
}

/** Traits that are suspects of the same crashes. */
interface Candidate {
  traits: string[];
  /** Indexes of the crashes. */
  crashes: ReadonlySet<number>;
  /** Whether there are enough crashes for it to count as their cause. */
  isSufficient: boolean;
}

/**
 * Crashes that a trait must explain before requests with it are refused. A harmless request can be
 * waiting at two upstreams that crash one after the other.
 */
const MIN_CRASHES = 3;
/** The same for traits of requests that have run well before. */
const MIN_CRASHES_AFTER_PROGRESS = 6;
/**
 * Time over which these crashes extend at least. Upstreams that end at the same moment, with all that
 * they run, were not ended by a request.
 */
const MIN_SPAN_AFTER_PROGRESS_MS = 4000;
/** With this many crashes, a trait counts as a cause even if another one explains as many. */
const MIN_CRASHES_OF_RIVALS = 5;

/** Whether the crashes of which some traits are suspects are enough to call the traits the cause. */
function isSufficient(
  traits: readonly string[],
  crashes: readonly CrashSuspects[],
  { hasProgressed }: TraitHistory,
): boolean {
  if (!traits.every(hasProgressed)) return crashes.length >= MIN_CRASHES;
  const times = crashes.map(({ atMs }) => atMs);
  return (
    crashes.length >= MIN_CRASHES_AFTER_PROGRESS &&
    Math.max(...times) - Math.min(...times) >= MIN_SPAN_AFTER_PROGRESS_MS
  );
}

function findIndexes(crashes: readonly CrashSuspects[], trait: string): number[] {
  return crashes.flatMap(({ suspects }, index) => (suspects.has(trait) ? [index] : []));
}

/** Returns the suspects that were a cause before and whose earlier crashes have been forgotten. */
function findPastCauses(
  crashes: readonly CrashSuspects[],
  { isPastCause }: TraitHistory,
): string[] {
  const suspects = new Set(crashes.flatMap((crash) => [...crash.suspects]));
  return [...suspects].filter(isPastCause).sort();
}

/** Groups the traits by the crashes of which they are suspects, leaving out `explained` ones. */
function listCandidates(
  crashes: readonly CrashSuspects[],
  explained: ReadonlySet<number>,
  history: TraitHistory,
): Candidate[] {
  const indexes = new Map<string, number[]>();
  crashes.forEach(({ suspects }, index) => {
    if (explained.has(index)) return;
    for (const trait of suspects) indexes.set(trait, [...(indexes.get(trait) ?? []), index]);
  });
  const groups = new Map<string, string[]>();
  for (const [trait, found] of indexes) {
    const key = found.join();
    groups.set(key, [...(groups.get(key) ?? []), trait]);
  }
  return [...groups.values()].map((traits) => {
    const found = indexes.get(traits[0]!)!;
    const suspected = found.map((index) => crashes[index]!);
    return {
      traits: traits.sort(),
      crashes: new Set(found),
      isSufficient: isSufficient(traits, suspected, history),
    };
  });
}

function hasSharedCrash(a: Candidate, b: Candidate): boolean {
  return [...a.crashes].some((index) => b.crashes.has(index));
}

/** Whether no other candidate explains some of the same crashes and as many or more. */
function isUnrivaled(candidate: Candidate, all: readonly Candidate[]): boolean {
  const { size } = candidate.crashes;
  return all.every(
    (other) =>
      other === candidate ||
      other.crashes.size < size ||
      (other.crashes.size === size && size >= MIN_CRASHES_OF_RIVALS) ||
      !hasSharedCrash(candidate, other),
  );
}

/**
 * Finds the causes of crashes: repeatedly the traits that explain most of the crashes that no cause
 * explains yet. Other traits of the same requests, and those of requests that waited beside them,
 * are suspects of fewer crashes or have been cleared.
 *
 * Serves deployments where one request in twenty crashes its upstream, with tens of requests
 * waiting at each. It is computed anew when a suspect is added or cleared, which is rare.
 */
export function findCrashCauses(
  crashes: readonly CrashSuspects[],
  history: TraitHistory,
): CrashCause[] {
  const causes: CrashCause[] = [];
  const explained = new Set<number>();
  for (const trait of findPastCauses(crashes, history)) {
    const indexes = findIndexes(crashes, trait);
    causes.push({ traits: [trait], crashCount: indexes.length });
    for (const index of indexes) explained.add(index);
  }
  for (;;) {
    const candidates = listCandidates(crashes, explained, history);
    const found = candidates
      .filter((candidate) => candidate.isSufficient && isUnrivaled(candidate, candidates))
      .sort((a, b) => b.crashes.size - a.crashes.size || (a.traits[0]! < b.traits[0]! ? -1 : 1))[0];
    if (!found) return causes;
    causes.push({ traits: found.traits, crashCount: found.crashes.size });
    for (const index of found.crashes) explained.add(index);
  }
}
