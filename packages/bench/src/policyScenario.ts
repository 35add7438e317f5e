/** Tables that a scenario reports. */
export interface ScenarioResult {
  tables: { title: string; columns: string[]; rows: (string | number)[][] }[];
}

/** A simulated comparison that gives the same numbers for the same seed. */
export interface PolicyScenario {
  name: string;
  description: string;
  /** `quick` runs a smaller size for a first look; its figures are not for reports. */
  run(options: { seed: number; quick: boolean }): Promise<ScenarioResult>;
}

/** Returns the value below which the given share of the values lies; 0 without values. */
export function findQuantile(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
