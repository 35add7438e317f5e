/** Generated messages and services of the gRPC protocol, and the table of result codes. */
// Each generated file exports these helpers; naming one source resolves the ambiguous exports.
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
