import type { RelayConfig } from './config/relayConfig.js';
import type { ChangeSource, WriteOutcome } from './follow/changeSource.js';
import type { PeerRecord } from './relayOptions.js';
import type { RolloutOrder, RolloutProgress } from './rollouts/rolloutOrder.js';
import type { UpstreamRecord } from './upstreams/upstreamRecord.js';
import type { ZoneEvacuation } from './upstreams/zoneEvacuations.js';

/** The operations of the platform's store that the relay uses. */
export interface RelayStore {
  /**
   * Returns the newest era that any answer of the store has named, those to writes included;
   * undefined if it names none.
   */
  getEra?(): number | undefined;
  config: ChangeSource<RelayConfig>;
  upstreams: ChangeSource<UpstreamRecord>;
  rollouts: ChangeSource<RolloutOrder>;
  /** Read only where the bounds have `evacuateMs`. */
  evacuations: ChangeSource<ZoneEvacuation>;
  peers: ChangeSource<PeerRecord>;
  /** Stores the progress of a rollout if its order still has `revision`. */
  putProgress(name: string, revision: number, progress: RolloutProgress): Promise<WriteOutcome>;
  /** Registers this instance so that others can find it. */
  announce(record: PeerRecord): Promise<WriteOutcome>;
}
