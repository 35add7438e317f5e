/** The declared contracts: generated messages and services, and the table of result codes. */
// The generated files share helper types; naming them here resolves the ambiguity.
export type { DeepPartial, Exact, MessageFns } from './generated/cactusstair/v1/types.js';
export { protobufFileName, protobufPackage } from './generated/cactusstair/v1/types.js';
export * from './generated/cactusstair/v1/operator.js';
export * from './generated/cactusstair/v1/peer.js';
export * from './generated/cactusstair/v1/types.js';
export type { UnaryMethod } from './callUnary.js';
export { callUnary } from './callUnary.js';
export type { Failure } from './failure.js';
export { createFailure, getResultCode } from './failure.js';
export type { GrpcStatusName, RanState, ResultCode, ResultCodeName } from './resultCodes.js';
export { resultCodes } from './resultCodes.js';
