#!/usr/bin/env node
import { join } from 'node:path';

import sade from 'sade';

import { runSoak } from './soak/runSoak.js';

interface SoakCommand {
  seed: number | string;
  minutes: number | string;
  dir?: string;
}

const MS_PER_MINUTE = 60_000;

async function run(command: SoakCommand): Promise<void> {
  const seed = Number(command.seed);
  const minutes = Number(command.minutes);
  if (!Number.isInteger(seed) || seed < 1 || !(minutes > 0)) {
    process.stderr.write('--seed must be a positive integer and --minutes a positive number\n');
    process.exitCode = 2;
    return;
  }
  const runDir = command.dir ?? join('runs', `soak-${seed}-${Date.now()}`);
  const results = await runSoak({
    seed,
    durationMs: minutes * MS_PER_MINUTE,
    runDir,
    print: (line) => process.stdout.write(`${line}\n`),
    command: `npm run soak -- --seed ${seed} --minutes ${minutes}`,
  });
  process.exitCode = results.some(({ violations }) => violations.length > 0) ? 1 : 0;
}

sade('soak', true)
  .describe('Runs a local cluster under load and random faults, and checks the invariants.')
  .option('--seed', 'Seed of the faults and the load', 1)
  .option('--minutes', 'Duration of the load with faults', 2)
  .option('--dir', 'Directory for the logs. Default: a new directory below runs/')
  .action((command: SoakCommand) =>
    run(command).catch((error: unknown) => {
      process.stderr.write(`soak run failed: ${(error as Error).stack}\n`);
      process.exitCode = 1;
    }),
  )
  .parse(process.argv);
