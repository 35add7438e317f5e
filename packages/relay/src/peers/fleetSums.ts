import { createDictionary } from '@cactusstair/utils';

import { addEngineSums, createEngineSums } from '../upstreams/engineEstimators.js';
import type { EngineSums } from '../upstreams/engineEstimators.js';
import { addCapacityReport } from '../upstreams/upstreamCapacities.js';
import type { CapacityReport } from '../upstreams/upstreamCapacities.js';
import type { ReportPart, UpstreamLoads } from './fleetReport.js';
import { addLoads } from './fleetReport.js';
import type { FleetReport } from './peerMessage.js';
import type { Peer, PeerTable } from './peerTable.js';
import { LOST_AFTER_MS } from './peerTable.js';

/**
 * How an instance hears of the others: in a `mesh` from each of them, as a `reporter` from its zone
 * and the reporters of other zones, as a `member` from the reporters of its zone.
 */
export type PeerRole = 'mesh' | 'reporter' | 'member';

/** Messages older than this are ignored for loads, echoes and aggregated reports. */
export const STALE_AFTER_MS = 1500;

/** Sums what the last messages of the other instances say, by the role of this instance. */
export class FleetSums {
  constructor(
    private readonly table: PeerTable,
    /** Availability zone of this instance. */
    private readonly zone: string,
    private readonly getRole: () => PeerRole,
  ) {}

  /** Returns the peers in the same zone whose last message is younger than `maxAgeMs`. */
  listZonePeers(maxAgeMs: number): Peer[] {
    return this.table.listRecentPeers(maxAgeMs).filter(({ message }) => message.zone === this.zone);
  }

  /** Returns the contributions of the other instances in the zone to its report. */
  listZoneParts(maxAgeMs = STALE_AFTER_MS): ReportPart[] {
    return this.listZonePeers(maxAgeMs).map(({ message }) => ({ ...message, count: 1 }));
  }

  /** Returns, for each other zone, the report that covers the most instances. */
  listOtherZoneReports(maxAgeMs = STALE_AFTER_MS): FleetReport[] {
    const best = new Map<string, FleetReport>();
    for (const { message } of this.table.listRecentPeers(maxAgeMs)) {
      const { zone, report } = message;
      if (report?.scope !== 'zone' || zone === this.zone) continue;
      if (report.count > (best.get(zone)?.count ?? 0)) best.set(zone, report);
    }
    return [...best.values()];
  }

  /** Returns the peer whose fleet report covers the most instances. */
  findReporter(maxAgeMs: number): Peer | undefined {
    let best: Peer | undefined;
    for (const peer of this.table.listRecentPeers(maxAgeMs)) {
      const { report } = peer.message;
      if (report?.scope !== 'fleet') continue;
      if (report.count > (best?.message.report?.count ?? 0)) best = peer;
    }
    return best;
  }

  /**
   * Returns the fleet report that covers the most instances, among those received from reporters.
   */
  findFleetReport(maxAgeMs = LOST_AFTER_MS): FleetReport | undefined {
    return this.findReporter(maxAgeMs)?.message.report;
  }

  /** Counts the instances of each other zone. */
  countOtherZones(): Record<string, number> {
    const counts = createDictionary<number>();
    const add = (zone: string, count: number) => {
      if (zone !== this.zone) counts[zone] = (counts[zone] ?? 0) + count;
    };
    const role = this.getRole();
    if (role === 'member') {
      const { countByZone = {} } = this.findFleetReport() ?? {};
      for (const [zone, count] of Object.entries(countByZone)) add(zone, count);
    } else if (role === 'reporter') {
      for (const { countByZone = {} } of this.listOtherZoneReports(LOST_AFTER_MS)) {
        for (const [zone, count] of Object.entries(countByZone)) add(zone, count);
      }
    } else {
      for (const { message } of this.table.listRecentPeers(LOST_AFTER_MS)) add(message.zone, 1);
    }
    return counts;
  }

  /** Sums the loads of the instances in other zones, which do not send notices to this one. */
  sumRemoteLoads(maxAgeMs: number): UpstreamLoads {
    const role = this.getRole();
    if (role === 'member') return this.findFleetReport(maxAgeMs)?.remoteLoads ?? {};
    const sum: UpstreamLoads = createDictionary();
    if (role === 'reporter') {
      for (const { loads } of this.listOtherZoneReports(maxAgeMs)) addLoads(sum, loads);
      return sum;
    }
    for (const { message } of this.table.listRecentPeers(maxAgeMs)) {
      if (message.zone !== this.zone) addLoads(sum, message.loads);
    }
    return sum;
  }

  /** Sums the prefill samples of the other instances; a fleet report includes those of this one. */
  sumEngines(): EngineSums {
    const role = this.getRole();
    if (role === 'member') return this.findFleetReport()?.engines ?? {};
    const sum = createEngineSums();
    const peers =
      role === 'mesh'
        ? this.table.listRecentPeers(LOST_AFTER_MS)
        : this.listZonePeers(LOST_AFTER_MS);
    for (const { message } of peers) addEngineSums(sum, message.engines ?? {});
    if (role === 'mesh') return sum;
    for (const { engines } of this.listOtherZoneReports(LOST_AFTER_MS)) {
      addEngineSums(sum, engines ?? {});
    }
    return sum;
  }

  /** Sums the capacity sums of the other instances; a fleet report includes those of this one. */
  sumCapacities(): CapacityReport {
    const role = this.getRole();
    if (role === 'member') return this.findFleetReport()?.capacities ?? {};
    const sum: CapacityReport = createDictionary();
    const peers =
      role === 'mesh'
        ? this.table.listRecentPeers(LOST_AFTER_MS)
        : this.listZonePeers(LOST_AFTER_MS);
    for (const { message } of peers) addCapacityReport(sum, message.capacities ?? {});
    if (role === 'mesh') return sum;
    for (const { capacities } of this.listOtherZoneReports(LOST_AFTER_MS)) {
      addCapacityReport(sum, capacities ?? {});
    }
    return sum;
  }
}
