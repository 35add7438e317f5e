/** Starts a local cluster of stand-ins and entry instances as child processes. */
export { defaultClusterOptions } from './defaultCluster.js';
export { findFreePorts } from './freePorts.js';
export type { EntryAddresses } from './localCluster.js';
export { LocalCluster } from './localCluster.js';
export type {
  ClusterCascade,
  ClusterEngines,
  ClusterModel,
  ClusterOptions,
  ClusterProxy,
  ClusterServices,
  ClusterVersion,
  ClusterWorkspace,
  ClusterZone,
} from './clusterOptions.js';
export type { ProcessExit, ReadyLine } from './clusterProcess.js';
export { ClusterProcess } from './clusterProcess.js';
