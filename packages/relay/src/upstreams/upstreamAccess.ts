import type { InstanceGroup, KnownInstances } from '@cactusstair/routing';
import { ColdLimits, UpstreamLimits } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { Service } from '../config/relayConfig.js';
import type { EventLog } from '../observe/eventLog.js';
import type { RelayBounds } from '../relayOptions.js';
import { formatVersionKey } from '../rollouts/rolloutRouter.js';
import { ColdUpstreams } from './coldUpstreams.js';
import { UpstreamCapacities } from './upstreamCapacities.js';
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
  /** Returns the instances among which the bounds of cold upstreams are divided. */
  getInstances: () => KnownInstances;
  /** Whether the list of upstreams has been read. One that is listed later has just appeared. */
  isListRead: () => boolean;
  findService: (name: string) => Service | undefined;
  /** Called when other upstreams of a service may get requests than before. */
  onListChange: (service: string) => void;
}

const REFRESH_INTERVAL_MS = 250;

/** Which upstreams may get requests of this instance, and when. */
export class UpstreamAccess {
  readonly evacuations: ZoneEvacuations;

  readonly directory: UpstreamDirectory;

  readonly capacities: UpstreamCapacities;

  readonly limits: UpstreamLimits;

  readonly notices: UpstreamNotices;

  readonly cold: ColdUpstreams;

  constructor(private readonly options: UpstreamAccessOptions) {
    const { bounds, clock, log } = options;
    this.evacuations = new ZoneEvacuations({
      clock,
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
    this.capacities = new UpstreamCapacities({
      clock,
      listUpstreams: () => this.directory.listAll(),
      onChange: (change) => log.write('upstream_capacity', { ...change }),
    });
    this.limits = new UpstreamLimits({
      clock,
      getGroup: options.getGroup,
      findUpstream: (id) => this.describeLimited(id),
    });
    this.cold = new ColdUpstreams({
      clock,
      bounds,
      limits: new ColdLimits({ clock, getInstances: options.getInstances }),
      findUpstream: (id) => this.directory.find(id),
      listUpstreams: () => this.directory.listAll(),
      findService: options.findService,
      onCold: ({ id, record }, leftMs, reason) =>
        log.write('upstream_cold', {
          upstream: id,
          service: record.service,
          zone: record.zone,
          durationMs: Math.round(leftMs),
          reason,
        }),
      onUnknown: ({ id }) => log.write('upstream_warmup_unknown', { upstream: id }),
    });
    this.notices = new UpstreamNotices({
      clock,
      limits: this.limits,
      cold: this.cold,
      onEvent: (event, fields) => log.write(`upstream_${event}`, fields),
    });
  }

  /** Follows the upstreams that warm up until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.cold.refresh();
      await this.options.clock.sleep(REFRESH_INTERVAL_MS, signal);
    }
  }

  private handleUpstreamEvent(event: UpstreamEvent, record: UpstreamRecord): void {
    const { id, service, version, zone } = record;
    this.options.log.write(`upstream_${event}`, { upstream: id, service, version, zone });
    if (event === 'restarted') this.notices.forget(record);
    if (event === 'restarted' || event === 'gone') this.capacities.forget(record);
    this.updateCold(event, record);
    this.limits.refresh();
    this.options.onListChange(service);
  }

  private updateCold(event: UpstreamEvent, record: UpstreamRecord): void {
    const upstream = this.directory.find(record.id);
    if (event === 'gone') this.cold.forget(record.id);
    else if (event === 'missing') this.cold.recordMissing(record);
    else if (upstream && event === 'restarted') this.cold.start(upstream, 'restarted');
    else if (upstream && event === 'seen' && this.options.isListRead()) {
      this.cold.recordAppeared(upstream);
    }
  }

  private recordEvacuation(state: 'started' | 'ended', zone: string): void {
    const upstreams = this.directory.listAll().filter(({ record }) => record.zone === zone);
    this.options.log.write('evacuation', { zone, state, upstreams: upstreams.length });
    if (state === 'ended') {
      for (const upstream of upstreams) this.cold.start(upstream, 'evacuation_ended');
    }
    const services = new Set(upstreams.map(({ record }) => record.service));
    for (const service of services) this.options.onListChange(service);
  }

  /** Describes an upstream whose limit the instances divide; undefined if it gets no requests. */
  private describeLimited(id: string): { pool: string; zone: string } | undefined {
    const record = this.directory.find(id)?.record;
    if (!record || record.isDraining || this.notices.isLeaving(record)) return undefined;
    return { pool: formatVersionKey(record.service, record.version), zone: record.zone };
  }
}
