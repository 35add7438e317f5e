import { MAX_CLIENT_KEY_LENGTH } from '@cactusstair/utils';

/** One crash as instances tell each other. */
export interface CrashReport {
  /** Id of the upstream. */
  upstream: string;
  /** Time since the crash, in milliseconds. */
  ageMs: number;
  /** Traits of requests that had not made progress at the upstream when it crashed. */
  suspects: string[];
  /** Traits of such requests that have made progress elsewhere since. */
  cleared: string[];
}

/** Number of traits in all reports of one message; bounds its size. */
export const MAX_EXPORTED_TRAITS = 1000;
const MAX_IMPORTED_CRASHES = 100;
/** Traits are keys of requests; ids of upstreams are not longer either. */
const MAX_TRAIT_LENGTH = MAX_CLIENT_KEY_LENGTH;

function isTraitList(value: unknown): value is string[] {
  return (
    Array.isArray(value) &&
    value.length <= MAX_EXPORTED_TRAITS &&
    value.every((trait) => typeof trait === 'string' && trait.length <= MAX_TRAIT_LENGTH)
  );
}

function isCrashReport(value: unknown): value is CrashReport {
  if (typeof value !== 'object' || value === null) return false;
  const { upstream, ageMs, suspects, cleared } = value as Partial<CrashReport>;
  return (
    typeof upstream === 'string' &&
    upstream.length <= MAX_TRAIT_LENGTH &&
    typeof ageMs === 'number' &&
    ageMs >= 0 &&
    isTraitList(suspects) &&
    isTraitList(cleared)
  );
}

/** Returns the entries that are reports, without those of other builds. */
export function filterReports(entries: readonly unknown[]): CrashReport[] {
  return entries.slice(0, MAX_IMPORTED_CRASHES).filter(isCrashReport);
}
