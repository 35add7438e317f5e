import { formatTextTable } from './report/textTable.js';
import { measureControlCost } from './processes/controlCost.js';
import { measureEntryOverhead } from './processes/entryOverhead.js';

/**
 * Measures real processes: the latency that an entry instance adds and the resource use of an idle
 * cluster. The times depend on the machine; use only the ratios and slopes.
 *
 * Usage: node packages/bench/dist/processesMain.js [--quick] [--seed N]
 */
const quick = process.argv.includes('--quick');
const seedIndex = process.argv.indexOf('--seed');
const seed = seedIndex < 0 ? 1 : Number(process.argv[seedIndex + 1]);

for (const tokens of [16, 256]) {
  const table = await measureEntryOverhead(seed, quick, tokens);
  process.stdout.write(`${formatTextTable(table)}\n`);
}
process.stdout.write(`${formatTextTable(await measureControlCost(seed, quick))}\n`);
process.exit(0);
