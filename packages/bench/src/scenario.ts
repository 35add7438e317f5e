/** How a scenario runs. */
export interface ScenarioOptions {
  /** The same seed gives the same numbers. */
  seed: number;
  /** Shorter model time, for a check that the scenario works. */
  quick: boolean;
  /** Model time of each run in milliseconds instead of the scenario's own. */
  durationMs?: number;
}

/** A table with policy and baselines side by side. */
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

/** Outcome of a scenario. It must not contain wall-clock times. */
export interface ScenarioResult {
  scenario: string;
  seed: number;
  quick: boolean;
  tables: ResultTable[];
  plots: ResultPlot[];
}

/** One measured comparison. */
export interface Scenario {
  summary: string;
  run(options: ScenarioOptions): Promise<ScenarioResult>;
}
