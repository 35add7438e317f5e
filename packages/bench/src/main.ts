import { writeFileSync } from 'node:fs';

import sade from 'sade';

import { formatHtmlReport } from './report/htmlReport.js';
import { formatTextTable } from './report/textTable.js';
import type { ScenarioResult } from './scenario.js';
import { scenarios } from './scenarios.js';

interface Flags {
  seed: number | string;
  quick?: boolean;
  json?: string;
  report?: string;
}

const ALL = 'all';

function selectScenarios(name: string): string[] {
  if (name === ALL) return Object.keys(scenarios);
  return Object.hasOwn(scenarios, name) ? [name] : [];
}

function stopWithUsageError(message: string): void {
  process.stderr.write(`${message}\n`);
  process.exitCode = 2;
}

async function runBench(name: string | undefined, flags: Flags): Promise<void> {
  const selected = selectScenarios(name ?? ALL);
  if (selected.length === 0) {
    const known = [...Object.keys(scenarios), ALL].join(', ');
    stopWithUsageError(`unknown scenario "${name}"; use one of: ${known}`);
    return;
  }
  const seed = Number(flags.seed);
  if (!Number.isInteger(seed)) {
    stopWithUsageError(`--seed must be an integer, not "${flags.seed}"`);
    return;
  }
  const results: ScenarioResult[] = [];
  for (const scenario of selected) {
    const result = await scenarios[scenario]!.run({ seed, quick: flags.quick === true });
    results.push(result);
    for (const table of result.tables) process.stdout.write(`${formatTextTable(table)}\n`);
  }
  if (flags.json) writeFileSync(flags.json, `${JSON.stringify(results, null, 2)}\n`);
  if (flags.report) writeFileSync(flags.report, formatHtmlReport(results));
}

const summaries = Object.entries(scenarios).map(([name, { summary }]) => `${name}: ${summary}`);

sade('bench [scenario]', true)
  .describe(['Runs a scenario and prints its tables.', ...summaries, `${ALL}: every scenario`])
  .option('--seed', 'Seed of all random numbers; the same seed gives the same results', 1)
  .option('--quick', 'Simulate a shorter time', false)
  .option('--json', 'Write the results as JSON to this file')
  .option('--report', 'Write an HTML page with tables and plots to this file')
  .example('upstream-choice --seed 1 --report report.html')
  .action(runBench)
  .parse(process.argv);
