import { GroupSize } from '../peers/groupSize.js';
import type { RelayContext } from './relayContext.js';
import { ServiceQueues } from './serviceQueues.js';
import { countServicePlaces } from './upstreamChoice.js';

/** What the queues of an instance need of its other parts. */
export interface QueueSurroundings extends Pick<
  RelayContext,
  'clock' | 'directory' | 'getConfig' | 'notices' | 'reachability'
> {
  /** Returns the number of live instances, including this one. */
  countInstances: () => number;
}

/** Creates the queues of an instance, which takes its share of the places of all upstreams. */
export function createServiceQueues(surroundings: QueueSurroundings): ServiceQueues {
  const { clock, countInstances } = surroundings;
  const groupSize = new GroupSize(clock, countInstances);
  return new ServiceQueues({
    clock,
    countPlaces: (service) => countServicePlaces(surroundings, service),
    getShare: () => 1 / groupSize.get(),
  });
}
