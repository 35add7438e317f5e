import {
  checkAnswers,
  checkBills,
  checkCrashingRequests,
  checkCrashBystanders,
  checkNonIdempotent,
  checkNotRun,
} from './answerChecks.js';
import {
  checkInForce,
  checkInvariantCounters,
  checkNoRevert,
  checkRaces,
  checkRestarts,
} from './configChecks.js';
import type { PropertyResult, Recording } from './recording.js';
import {
  checkAllowedVersions,
  checkLeaving,
  checkSessions,
  checkWithdrawals,
} from './versionChecks.js';

const checks: readonly ((recording: Recording) => PropertyResult)[] = [
  checkAllowedVersions,
  checkWithdrawals,
  checkSessions,
  checkBills,
  checkAnswers,
  checkNotRun,
  checkNonIdempotent,
  checkLeaving,
  checkRestarts,
  checkNoRevert,
  checkInForce,
  checkRaces,
  checkCrashBystanders,
  checkCrashingRequests,
  checkInvariantCounters,
];

/** Checks all properties on the recording of a run. */
export function checkRecording(recording: Recording): PropertyResult[] {
  return checks.map((check) => check(recording));
}
