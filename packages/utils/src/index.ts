/** Utilities for all packages: time, random numbers, waiting, settings, clean-up and logs. */
export { alignColumns } from './alignColumns.js';
export { describeInvalidStatus } from './answerStatus.js';
export { ByteCollector } from './byteCollector.js';
export { createClientKey, MAX_CLIENT_KEY_LENGTH } from './clientKey.js';
export type { Clock } from './clock.js';
export { CallerConnection } from './connections/callerConnection.js';
export type { ConnectionGuardOptions, ConnectionState } from './connections/connectionGuard.js';
export {
  chooseConnectionToClose,
  ConnectionGuard,
  findConnection,
  guardConnections,
  ignoreBody,
  refuseBody,
} from './connections/connectionGuard.js';
export type { ReceiveBudgetOptions, Receiver } from './connections/receiveBudget.js';
export { listByHeldBytes, READ_BYTES, ReceiveBudget } from './connections/receiveBudget.js';
export { RateMeter } from './connections/rateMeter.js';
export { connectionTurns, TurnQueue } from './connections/turnQueue.js';
export { createDictionary } from './dictionary.js';
export { systemClock } from './clock.js';
export { isHeaderSet } from './headerFlag.js';
export { Invariants } from './invariants.js';
export { LifecycleManager } from './lifecycleManager.js';
export type { Logger, LoggerOptions, LogLevel } from './logger.js';
export { createLogger } from './logger.js';
export { ManualClock } from './manualClock.js';
export { hashPrefixBlocks } from './prefixBlocks.js';
export type { Random } from './random.js';
export { createRandom } from './random.js';
export type { SettingsProblem } from './settings.js';
export {
  createSettingsProblem,
  formatSettingsProblem,
  loadSettings,
  parseSettings,
} from './settings.js';
export type { SharedCallOptions } from './sharedCall.js';
export { SharedCall } from './sharedCall.js';
export { hashFraction, hashText } from './textHash.js';
export type { WaitOptions } from './waitFor.js';
export { waitFor, WaitTimeoutError } from './waitFor.js';
