import type { CrashAttribution } from './crashAttribution.js';
import type { CrashReport } from './crashReport.js';

/** Number of traits in one report, so that several reports fit into a message. */
const MAX_TRAITS = 40;

/** Splits a report into reports of the same crash with few traits each. */
function splitReport({ upstream, ageMs, suspects, cleared }: CrashReport): CrashReport[] {
  const parts: CrashReport[] = [];
  for (let start = 0; start < Math.max(suspects.length, cleared.length); start += MAX_TRAITS) {
    parts.push({
      upstream,
      ageMs,
      suspects: suspects.slice(start, start + MAX_TRAITS),
      cleared: cleared.slice(start, start + MAX_TRAITS),
    });
  }
  return parts;
}

/**
 * Offers the reports about crashes in turn. A message holds only the first ones that fit, so each
 * export starts with another one.
 */
export class CrashFeed {
  private exports = 0;

  constructor(private readonly crashes: CrashAttribution) {}

  exportReports(): CrashReport[] {
    const parts = this.crashes.exportReports('all').flatMap(splitReport);
    if (parts.length === 0) return [];
    const start = this.exports % parts.length;
    this.exports += 1;
    return [...parts.slice(start), ...parts.slice(0, start)];
  }
}
