/** The randomised run and its checker. */
export { checkRecording } from './soak/checker.js';
export type { FaultTargets, ScheduledFault } from './soak/faultSchedule.js';
export { createFaultSchedule } from './soak/faultSchedule.js';
export type {
  CallRecord,
  FaultRecord,
  HistoryRecord,
  MetricsSample,
  OperatorRecord,
  PropertyResult,
  Recording,
  Violation,
} from './soak/recording.js';
export { formatTable } from './soak/report.js';
export type { SoakOptions } from './soak/runSoak.js';
export { runSoak } from './soak/runSoak.js';
export { soakTargets } from './soak/soakPlace.js';
