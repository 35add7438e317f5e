import type { ConfigReplica } from '@cactusstair/coordination';
import type { Failure } from '@cactusstair/protocol';

import type { ChatHandler } from '../requests/chatHandler.js';
import type { ServiceHandler } from '../requests/serviceHandler.js';
import type { ChatLimits } from './chatBody.js';

/** Dependencies of the controllers of the caller API. */
export interface CallerContext {
  replica: ConfigReplica;
  chat: ChatHandler;
  services: ServiceHandler;
  limits: ChatLimits;
  /** Returns the failure with which new requests are refused, or undefined if they are accepted. */
  checkAdmission(): Failure | undefined;
  /** Whether the instance is stopping and callers must close their keep-alive connections. */
  isStopping(): boolean;
}

/** Injection token of `CallerContext`. */
export const CALLER_CONTEXT = Symbol('CallerContext');
