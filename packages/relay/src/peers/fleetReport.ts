import { createDictionary } from '@cactusstair/utils';

import { addEvidence, createEvidence } from '../rollouts/versionEvidence.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import { addEngineSums, createEngineSums } from '../upstreams/engineEstimators.js';
import { addCapacityReport, roundCapacityReport } from '../upstreams/upstreamCapacities.js';
import type { CapacityReport } from '../upstreams/upstreamCapacities.js';
import type { FleetReport, UpstreamLoad } from './peerMessage.js';

/** Load of each upstream, keyed by upstream id. */
export type UpstreamLoads = Record<string, UpstreamLoad>;

/** Maximum number of session pins in one report; bounds the size of a datagram. */
const MAX_REPORTED_PINS = 400;

/** Adds the loads reported by one instance to `sum`. */
export function addLoads(sum: UpstreamLoads, part: UpstreamLoads): void {
  for (const [id, [running, backlogMs, heldTokens]] of Object.entries(part)) {
    const known = sum[id] ?? [0, 0, 0];
    sum[id] = [known[0] + running, known[1] + backlogMs, known[2] + heldTokens];
  }
}

/**
 * Subtracts the loads of one instance from a sum. The sum may be older than these loads, so results
 * are clamped at 0.
 */
export function subtractLoads(sum: UpstreamLoads, part: UpstreamLoads): UpstreamLoads {
  const rest: UpstreamLoads = Object.assign(createDictionary(), sum);
  for (const [id, [running, backlogMs, heldTokens]] of Object.entries(part)) {
    const known = rest[id];
    if (!known) continue;
    rest[id] = [
      Math.max(0, known[0] - running),
      Math.max(0, known[1] - backlogMs),
      Math.max(0, known[2] - heldTokens),
    ];
  }
  return rest;
}

/** The contribution of one instance or zone to a report. */
export type ReportPart = Pick<
  FleetReport,
  'count' | 'countByZone' | 'loads' | 'evidence' | 'engines' | 'capacities' | 'pins'
>;

/**
 * Builds a report by summing its parts.
 *
 * @param zone zone of the parts that are single instances
 */
export function createFleetReport(
  scope: FleetReport['scope'],
  zone: string,
  parts: readonly ReportPart[],
): FleetReport {
  const loads: UpstreamLoads = createDictionary();
  const evidence = createDictionary<EvidenceSums>();
  const engines = createEngineSums();
  const capacities: CapacityReport = createDictionary();
  const pins = new Set<string>();
  const countByZone = createDictionary<number>();
  let count = 0;
  for (const part of parts) {
    count += part.count;
    for (const [name, inZone] of Object.entries(part.countByZone ?? { [zone]: part.count })) {
      countByZone[name] = (countByZone[name] ?? 0) + inZone;
    }
    addLoads(loads, part.loads);
    addEngineSums(engines, part.engines ?? {});
    addCapacityReport(capacities, part.capacities ?? {});
    for (const [key, sums] of Object.entries(part.evidence)) {
      const total = evidence[key] ?? createEvidence();
      addEvidence(total, sums);
      evidence[key] = total;
    }
    for (const pin of part.pins) if (pins.size < MAX_REPORTED_PINS) pins.add(pin);
  }
  return {
    scope,
    count,
    countByZone,
    loads,
    evidence,
    engines,
    capacities: roundCapacityReport(capacities),
    pins: [...pins],
  };
}
