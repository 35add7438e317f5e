import { addEvidence, createEvidence } from '../rollouts/versionEvidence.js';
import type { EvidenceSums } from '../rollouts/versionEvidence.js';
import type { FleetReport, UpstreamLoad } from './peerMessage.js';

/** Loads by upstream. */
export type Loads = Record<string, UpstreamLoad>;

/** Sessions that one report names at most, which bounds the size of a datagram. */
const MAX_REPORTED_PINS = 400;

/** Adds the loads of one sender to a sum. */
export function addLoads(sum: Loads, part: Loads): void {
  for (const [id, [running, backlogMs, heldTokens]] of Object.entries(part)) {
    const known = sum[id] ?? [0, 0, 0];
    sum[id] = [known[0] + running, known[1] + backlogMs, known[2] + heldTokens];
  }
}

/** Takes the loads of one sender out of a sum that may be older than they are. */
export function subtractLoads(sum: Loads, part: Loads): Loads {
  const rest: Loads = { ...sum };
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

/** What one sender contributes to a report. */
export type ReportPart = Pick<FleetReport, 'count' | 'loads' | 'evidence' | 'pins'>;

/** Sums up the parts of a report. */
export function createReport(
  scope: FleetReport['scope'],
  parts: readonly ReportPart[],
): FleetReport {
  const loads: Loads = {};
  const evidence: Record<string, EvidenceSums> = {};
  const pins = new Set<string>();
  let count = 0;
  for (const part of parts) {
    count += part.count;
    addLoads(loads, part.loads);
    for (const [key, sums] of Object.entries(part.evidence)) {
      const total = evidence[key] ?? createEvidence();
      addEvidence(total, sums);
      evidence[key] = total;
    }
    for (const pin of part.pins) if (pins.size < MAX_REPORTED_PINS) pins.add(pin);
  }
  return { scope, count, loads, evidence, pins: [...pins] };
}
