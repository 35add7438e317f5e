import type { ConfigReplica } from '@cactusstair/coordination';
import type { Failure } from '@cactusstair/protocol';

import type { ChatHandler } from '../requests/chatHandler.js';
import type { ServiceHandler } from '../requests/serviceHandler.js';
import type { ChatLimits } from './chatBody.js';

/** What the callers' controllers need from the instance. */
export interface CallerContext {
  replica: ConfigReplica;
  chat: ChatHandler;
  services: ServiceHandler;
  limits: ChatLimits;
  /** Returns why new work is refused, if it is. */
  checkAdmission(): Failure | undefined;
  /** Whether the instance is stopping, so that callers have to leave its connections. */
  isStopping(): boolean;
}

/** Injection token of `CallerContext`. */
export const CALLER_CONTEXT = Symbol('CallerContext');
