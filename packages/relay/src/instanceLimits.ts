import type { InstanceLimits } from './relayOptions.js';

/** Assumed when the settings name no memory: that of the largest machine in use so far. */
const DEFAULT_MEMORY_BYTES = 602 * 1_000_000;
/** Share of the memory for bodies; the program, answers and connections need the rest. */
const BODY_MEMORY_SHARE = 0.125;
/** Beyond this, more memory for bodies would not fit beside the other uses of a larger heap. */
const MAX_BODY_MEMORY_BYTES = 64 * 1024 * 1024;
/** Share of the memory for what connections have sent beyond that and what is not parsed yet. */
const RECEIVE_MEMORY_SHARE = 0.0625;
/** Assumed when the settings name no number of descriptors. */
const DEFAULT_MAX_DESCRIPTORS = 10_000;
/** Descriptors reserved for files, and for the connections to the store. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors for the readiness port, and for the port of other instances. */
const STATUS_SHARE = 0.05;
const PEER_SHARE = 0.1;
/** A request that is served has a connection to its caller and one to its upstream. */
const DESCRIPTORS_PER_REQUEST = 2;
const MIN_CONNECTIONS = 8;

/** What one instance may use for callers. */
export interface CallerCapacity {
  /** Memory for the bodies of requests, in bytes. */
  bodyBytes: number;
  /** Memory for bytes that were received and not yet parsed, at all ports. */
  receiveBytes: number;
  /** Connections at the callers' port. */
  maxCallers: number;
  /** Connections at the readiness port. */
  maxStatus: number;
  /** Connections at the port of other instances. */
  maxPeers: number;
}

/** Divides the memory and the descriptors of the process. */
export function computeCallerCapacity(limits: InstanceLimits): CallerCapacity {
  const { memoryBytes = DEFAULT_MEMORY_BYTES, maxDescriptors = DEFAULT_MAX_DESCRIPTORS } = limits;
  const descriptors = Math.max(0, maxDescriptors - RESERVED_DESCRIPTORS);
  const computeCount = (count: number) => Math.max(MIN_CONNECTIONS, Math.floor(count));
  const callerShare = (1 - STATUS_SHARE - PEER_SHARE) / DESCRIPTORS_PER_REQUEST;
  return {
    bodyBytes: Math.min(MAX_BODY_MEMORY_BYTES, memoryBytes * BODY_MEMORY_SHARE),
    receiveBytes: memoryBytes * RECEIVE_MEMORY_SHARE,
    maxCallers: computeCount(descriptors * callerShare),
    maxStatus: computeCount(descriptors * STATUS_SHARE),
    maxPeers: computeCount(descriptors * PEER_SHARE),
  };
}
