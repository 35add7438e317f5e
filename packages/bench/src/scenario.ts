/** Options of a scenario run. */
export interface ScenarioOptions {
  /** Seed of all random numbers; the same seed gives the same results. */
  seed: number;
  /** Simulates a shorter time, to check that the scenario works. */
  quick: boolean;
  /** Simulated time of each run in milliseconds; overrides the default of the scenario. */
  durationMs?: number;
}

/** A table that compares the policy with its baselines. */
export interface ResultTable {
  title: string;
  columns: string[];
  rows: (string | number)[][];
}

/** A line plot, or bars when `categories` are given. */
export interface ResultPlot {
  title: string;
  xLabel: string;
  yLabel: string;
  /** Names of the x positions of a bar plot; the points' x then is an index. */
  categories?: string[];
  series: { name: string; points: { x: number; y: number }[] }[];
}

/** Result of a scenario. Contains no wall-clock times, so that runs with one seed are equal. */
export interface ScenarioResult {
  scenario: string;
  seed: number;
  quick: boolean;
  tables: ResultTable[];
  plots: ResultPlot[];
}

/** A benchmark that compares a policy with baselines. */
export interface Scenario {
  summary: string;
  run(options: ScenarioOptions): Promise<ScenarioResult>;
}
