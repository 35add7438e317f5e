#!/usr/bin/env node
import { formatSettingsProblem, loadSettings } from '@cactusstair/utils';
import sade from 'sade';

import type { Role, RoleName } from './roles.js';
import { roles } from './roles.js';

interface CommandOptions {
  config: string;
  'stop-with-stdin'?: boolean;
}

const SETTINGS_ERROR_EXIT_CODE = 2;

async function runRole(name: RoleName, options: CommandOptions): Promise<void> {
  const role: Role = roles[name];
  const loaded = loadSettings(options.config, role.schema);
  if (loaded.isErr()) {
    for (const problem of loaded.error) process.stderr.write(`${formatSettingsProblem(problem)}\n`);
    process.exitCode = SETTINGS_ERROR_EXIT_CODE;
    return;
  }
  const standin = await role.start(loaded.value);
  const stop = () => {
    standin.close().then(
      () => process.exit(0),
      (error: unknown) => {
        process.stderr.write(`the shutdown of the stand-in failed: ${String(error)}\n`);
        process.exit(1);
      },
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  if (options['stop-with-stdin']) process.stdin.once('end', stop).once('error', stop).resume();
  const ready = { ready: true, role: name, address: standin.address, ...standin.extra };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
}

const program = sade('standins');
for (const name of Object.keys(roles) as RoleName[]) {
  program
    .command(name)
    .describe(roles[name].description)
    .option('--config', 'YAML file with the options of the role')
    .option(
      '--stop-with-stdin',
      'Stop when standard input ends, that is, when the parent process exits',
    )
    .action(async (options: CommandOptions) => {
      if (typeof options.config !== 'string') {
        process.stderr.write(
          '--config is missing; pass the YAML file with the options of the role\n',
        );
        process.exitCode = SETTINGS_ERROR_EXIT_CODE;
        return;
      }
      try {
        await runRole(name, options);
      } catch (error) {
        process.stderr.write(`${name} failed to start: ${(error as Error).message}\n`);
        process.exit(1);
      }
    });
}
program.parse(process.argv);
