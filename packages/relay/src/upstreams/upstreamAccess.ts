import type { InstanceGroup } from '@cactusstair/routing';
import { UpstreamLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { EventLog } from '../observe/eventLog.js';
import type { RelayBounds } from '../relayOptions.js';
import { formatVersionKey } from '../rollouts/rolloutRouter.js';
import type { UpstreamDirectoryOptions, UpstreamEvent } from './upstreamDirectory.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { UpstreamNotices } from './upstreamNotices.js';
import type { UpstreamRecord } from './upstreamRecord.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

/** Options of `UpstreamAccess`. */
export interface UpstreamAccessOptions extends Pick<
  UpstreamDirectoryOptions,
  'isStoreDisturbed' | 'getStoreRestoredAgeMs'
> {
  clock: Clock;
  bounds: RelayBounds;
  log: EventLog;
  /** Returns the instances among which the limits of upstreams are divided. */
  getGroup: () => InstanceGroup;
}

/** Which upstreams may get requests of this instance, and when. */
export class UpstreamAccess {
  readonly evacuations: ZoneEvacuations;

  readonly directory: UpstreamDirectory;

  readonly limits: UpstreamLimits;

  readonly notices: UpstreamNotices;

  constructor(private readonly options: UpstreamAccessOptions) {
    const { bounds, clock, log } = options;
    this.evacuations = new ZoneEvacuations({
      isFollowed: bounds.evacuateMs !== undefined,
      onEvent: (state, zone) => this.recordEvacuation(state, zone),
    });
    this.directory = new UpstreamDirectory({
      clock,
      isStoreDisturbed: options.isStoreDisturbed,
      getStoreRestoredAgeMs: options.getStoreRestoredAgeMs,
      isLeaving: (record) => this.notices.isLeaving(record),
      isZoneEvacuated: (zone) => this.evacuations.isEvacuated(zone),
      onEvent: (event, record) => this.handleUpstreamEvent(event, record),
    });
    this.limits = new UpstreamLimits({
      clock,
      getGroup: options.getGroup,
      findUpstream: (id) => this.describeLimited(id),
    });
    this.notices = new UpstreamNotices({
      clock,
      limits: this.limits,
      onEvent: (event, fields) => log.write(`upstream_${event}`, fields),
    });
  }

  private handleUpstreamEvent(event: UpstreamEvent, record: UpstreamRecord): void {
    const { id, service, version, zone } = record;
    this.options.log.write(`upstream_${event}`, { upstream: id, service, version, zone });
    if (event === 'restarted') this.notices.forget(record);
    this.limits.refresh();
  }

  private recordEvacuation(state: 'started' | 'ended', zone: string): void {
    const upstreams = this.directory.listAll().filter(({ record }) => record.zone === zone);
    this.options.log.write('evacuation', { zone, state, upstreams: upstreams.length });
  }

  /** Describes an upstream whose limit the instances divide; undefined if it gets no requests. */
  private describeLimited(id: string): { pool: string; zone: string } | undefined {
    const record = this.directory.find(id)?.record;
    if (!record || record.isDraining || this.notices.isLeaving(record)) return undefined;
    return { pool: formatVersionKey(record.service, record.version), zone: record.zone };
  }
}
