/** Benchmarks: scenarios on simulated engines that compare the routing policies with baselines. */
export { choicePolicies, createChooser } from './model/choicePolicies.js';
export type { ChoiceContender, ChoicePolicy } from './model/choicePolicies.js';
export { EventLoop } from './model/eventLoop.js';
export type { EngineCall, FakeEngineOptions } from './model/fakeEngine.js';
export { FakeEngine } from './model/fakeEngine.js';
export type { ViewOptions } from './model/instanceView.js';
export { InstanceView } from './model/instanceView.js';
export type { Percentiles } from './model/latencies.js';
export { Latencies } from './model/latencies.js';
export { formatHtmlReport } from './report/htmlReport.js';
export { formatTextTable } from './report/textTable.js';
export type {
  ResultPlot,
  ResultTable,
  Scenario,
  ScenarioOptions,
  ScenarioResult,
} from './scenario.js';
export { scenarios } from './scenarios.js';
/** Soak test: load and random faults on a local cluster, and the checker of its recording. */
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
export { soakTargets } from './soak/soakCluster.js';
export type { ClusterNode } from './model/memberCluster.js';
export { MemberCluster } from './model/memberCluster.js';
