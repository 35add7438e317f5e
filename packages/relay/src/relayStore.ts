import type { RelayConfig } from './config/relayConfig.js';
import type { ChangeSource, WriteOutcome } from './follow/changeSource.js';
import type { PeerRecord } from './relayOptions.js';
import type { RolloutOrder, RolloutProgress } from './rollouts/rolloutOrder.js';
import type { UpstreamRecord } from './upstreams/upstreamRecord.js';

/** The platform's store as the product uses it. */
export interface RelayStore {
  config: ChangeSource<RelayConfig>;
  upstreams: ChangeSource<UpstreamRecord>;
  rollouts: ChangeSource<RolloutOrder>;
  peers: ChangeSource<PeerRecord>;
  /** Stores progress if the order's object still has `revision`. */
  putProgress(name: string, revision: number, progress: RolloutProgress): Promise<WriteOutcome>;
  /** Makes this instance known to others. */
  announce(record: PeerRecord): Promise<WriteOutcome>;
}
