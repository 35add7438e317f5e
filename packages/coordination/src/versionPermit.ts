import type { ModelVersion } from '@cactusstair/protocol';
import { VersionState } from '@cactusstair/protocol';

/** How long a version may get new work after the configuration was last confirmed. */
export interface VersionPermits {
  /** For a version under rollout, in milliseconds. */
  candidateMs: number;
  /** For a settled version, in milliseconds. */
  settledMs: number;
}

/** Default permits. Section 3.3 of docs/design.md gives the reasons. */
export const defaultVersionPermits: VersionPermits = { candidateMs: 10_000, settledMs: 3_600_000 };

export type VersionPermitState = 'permitted' | 'withdrawn' | 'lapsed';

const permitByState: Partial<Record<VersionState, (permits: VersionPermits) => number>> = {
  [VersionState.SETTLED]: (permits) => permits.settledMs,
  [VersionState.CANDIDATE]: (permits) => permits.candidateMs,
  // A version without a state was never marked as settled, so the shorter permit applies.
  [VersionState.UNSPECIFIED]: (permits) => permits.candidateMs,
};

/**
 * Decides whether a version may get new work.
 *
 * @param confirmedAgeMs age of the last confirmation; Infinity if there is none.
 */
export function checkVersionPermit(
  version: Pick<ModelVersion, 'state'>,
  confirmedAgeMs: number,
  permits: VersionPermits,
): VersionPermitState {
  if (version.state === VersionState.WITHDRAWN) return 'withdrawn';
  // An unrecognized state, for example of a newer release, gets no permit.
  const permitMs = permitByState[version.state]?.(permits) ?? 0;
  return confirmedAgeMs < permitMs ? 'permitted' : 'lapsed';
}
