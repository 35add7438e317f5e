/** Runs one of the policy scenarios: node policyMain.js <name> [--seed <n>] [--quick]. */
import { parseArgs } from 'node:util';

import { cascadeScenario } from './cascadeScenario.js';
import { rolloutScenario } from './rolloutScenario.js';

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { seed: { type: 'string', default: '1' }, quick: { type: 'boolean', default: false } },
});
const scenarios = [cascadeScenario, rolloutScenario];
const scenario = scenarios.find(({ name }) => name === positionals[0]);
if (!scenario) {
  process.stderr.write(`name one of: ${scenarios.map(({ name }) => name).join(', ')}\n`);
  process.exit(2);
}
const { tables } = await scenario.run({ seed: Number(values.seed), quick: values.quick });
tables.forEach(({ title, columns, rows }) => {
  const lines = [columns, ...rows].map((row) => row.map(String));
  const widths = columns.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  const text = lines.map((line) =>
    line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
  );
  process.stdout.write(`${title}\n${text.join('\n')}\n\n`);
});
