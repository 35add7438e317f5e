import type { Clock } from '@cactusstair/utils';

import type { EventLog } from '../observe/eventLog.js';
import type { PeerExchange } from '../peers/peerExchange.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';
import type { RolloutControllerOptions } from './rolloutController.js';
import { RolloutController } from './rolloutController.js';
import type { RolloutRouter } from './rolloutRouter.js';

/** What the rollout controller of an instance needs of its other parts. */
export interface RolloutSurroundings {
  clock: Clock;
  router: RolloutRouter;
  peers: PeerExchange;
  directory: UpstreamDirectory;
  /** Stores progress if the order has not changed. */
  storeProgress: RolloutControllerOptions['storeProgress'];
  log: EventLog;
}

/** Creates the controller that drives rollouts on the instance of the first rank. */
export function createRolloutController(surroundings: RolloutSurroundings): RolloutController {
  const { clock, router, peers, directory, storeProgress, log } = surroundings;
  return new RolloutController({
    clock,
    router,
    listEvidence: () => peers.listEvidence(),
    countOldVersionCalls: (service, targetVersion) => {
      const old = directory
        .listAll()
        .filter(({ record }) => record.service === service && record.version !== targetVersion);
      const own = old.reduce((sum, upstream) => sum + upstream.calls.size, 0);
      return own + peers.countPeerCalls(old.map(({ id }) => id));
    },
    getRank: () => peers.getRank(),
    storeProgress,
    onEvent: (event, fields) => log.write(event, fields),
  });
}
