#!/usr/bin/env node
import sade from 'sade';

import { CliError, exitCodes } from './cliError.js';
import type { ObjectCommandOptions, ObjectKindName } from './commands/objectCommands.js';
import { explainRequest } from './commands/explainCommand.js';
import { runLoadCommand } from './commands/loadCommand.js';
import {
  controlRollout,
  listObjects,
  objectKinds,
  printChange,
  putObject,
  rolloutActionNames,
  showObject,
  startRollout,
} from './commands/objectCommands.js';
import { checkSettings, serve } from './commands/serveCommand.js';
import { createApiKey, exportBills, listInstances, showChange } from './commands/stateCommands.js';
import { OperatorConnection } from './operatorConnection.js';

/** Options as returned by the command line parser. */
interface RawOptions {
  config?: string;
  server?: string;
  timeout?: number;
  ca?: string;
  cert?: string;
  key?: string;
  json?: boolean;
  expect?: number;
  workspace?: string;
  wait?: number;
  'accepted-at'?: number;
  callers?: string;
  'api-key'?: string;
  workload?: string;
  'short-model'?: string;
  'long-model'?: string;
  service?: string;
  rate?: number;
  seconds?: number;
  hours?: string;
  seed?: number;
  'json-file'?: string;
}

const DEFAULT_TIMEOUT_MS = 10_000;

/** Wraps a command: an error prints one message on standard error and sets the exit code. */
function createAction<Args extends unknown[]>(
  command: (...args: Args) => Promise<void> | void,
): (...args: Args) => Promise<void> {
  return async (...args) => {
    try {
      await command(...args);
    } catch (error) {
      const message = error instanceof CliError ? error.message : String(error);
      process.stderr.write(`cactusstair: ${message}\n`);
      process.exitCode = error instanceof CliError ? error.exitCode : exitCodes.failure;
    }
  };
}

async function withConnection(
  options: RawOptions,
  use: (connection: OperatorConnection) => Promise<void>,
): Promise<void> {
  const server = options.server ?? process.env.CACTUSSTAIR_SERVER;
  if (server === undefined) {
    throw new CliError(
      'no instance specified; pass --server ip:port or set CACTUSSTAIR_SERVER',
      exitCodes.usage,
    );
  }
  const { ca, cert, key } = options;
  const connection = new OperatorConnection({
    server,
    timeoutMs: options.timeout ?? DEFAULT_TIMEOUT_MS,
    ...(ca !== undefined && { ca }),
    ...(cert !== undefined && { cert }),
    ...(key !== undefined && { key }),
  });
  try {
    await use(connection);
  } finally {
    connection.close();
  }
}

function requireConfig(options: RawOptions): string {
  if (options.config === undefined) {
    throw new CliError('no settings file specified; pass --config FILE', exitCodes.usage);
  }
  return options.config;
}

function getObjectOptions(options: RawOptions): ObjectCommandOptions {
  return { json: options.json ?? false, expect: options.expect ?? 0 };
}

function parseNumber(text: string | number, name: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) throw new CliError(`${name} must be a number`, exitCodes.usage);
  return value;
}

const program = sade('cactusstair')
  .version('0.1.0')
  .option('--server', 'Operator address of an instance, ip:port; or CACTUSSTAIR_SERVER')
  .option('--timeout', 'Timeout of one call in milliseconds', DEFAULT_TIMEOUT_MS)
  .option('--json', 'Print JSON')
  .option('--ca', 'PEM file of the certificate authority')
  .option('--cert', 'PEM file of the client certificate')
  .option('--key', 'PEM file of the client key');

program
  .command('serve', 'Run an entry instance until SIGTERM')
  .option('--config', 'Settings file (YAML)')
  .action(createAction((options: RawOptions) => serve(requireConfig(options))));

program
  .command('check', 'Check a settings file and exit')
  .option('--config', 'Settings file (YAML)')
  .action(createAction((options: RawOptions) => checkSettings(requireConfig(options))));

for (const kind of Object.keys(objectKinds) as ObjectKindName[]) {
  program
    .command(`${kind} list`, `List every ${kind}`)
    .action(
      createAction((options: RawOptions) =>
        withConnection(options, (connection) =>
          listObjects(connection, kind, getObjectOptions(options)),
        ),
      ),
    );
  program
    .command(`${kind} get <name>`, `Show one ${kind}`)
    .action(
      createAction((name: string, options: RawOptions) =>
        withConnection(options, (connection) =>
          showObject(connection, kind, name, getObjectOptions(options)),
        ),
      ),
    );
  if ('put' in objectKinds[kind]) {
    program
      .command(`${kind} put <file>`, `Create or replace a ${kind} from a YAML file`)
      .option('--expect', 'Expected version of the object; 0 creates it', 0)
      .action(
        createAction((file: string, options: RawOptions) =>
          withConnection(options, (connection) =>
            putObject(connection, kind, file, getObjectOptions(options)),
          ),
        ),
      );
  }
}

program
  .command('model withdraw <model> <version>', 'Withdraw a version permanently')
  .option('--expect', 'Expected version of the model object; 0 for any', 0)
  .action(
    createAction((model: string, version: string, options: RawOptions) =>
      withConnection(options, async (connection) => {
        const request = {
          model,
          version: String(version),
          expectedVersion: options.expect ?? 0,
        };
        const change = await connection.call(connection.client.withdrawVersion, request);
        printChange(change, options.json ?? false);
      }),
    ),
  );

program
  .command('rollout start <file>', 'Start a rollout from a YAML file')
  .action(
    createAction((file: string, options: RawOptions) =>
      withConnection(options, (connection) =>
        startRollout(connection, file, getObjectOptions(options)),
      ),
    ),
  );

for (const action of rolloutActionNames) {
  program
    .command(`rollout ${action} <name>`, `${action} a rollout`)
    .option('--expect', 'Expected version of the rollout; 0 for any', 0)
    .action(
      createAction((name: string, options: RawOptions) =>
        withConnection(options, (connection) =>
          controlRollout(connection, action, name, getObjectOptions(options)),
        ),
      ),
    );
}

program
  .command('delete <kind> <name>', 'Delete an object')
  .option('--expect', 'Expected version of the object', 0)
  .action(
    createAction((kind: string, name: string, options: RawOptions) =>
      withConnection(options, async (connection) => {
        const request = { kind, name, expectedVersion: options.expect ?? 0 };
        const change = await connection.call(connection.client.deleteObject, request);
        printChange(change, options.json ?? false);
      }),
    ),
  );

program.command('keys rotate', 'Add a session signing key and retire the old ones').action(
  createAction((options: RawOptions) =>
    withConnection(options, async (connection) => {
      const change = await connection.call(connection.client.rotateSessionKeys, {});
      printChange(change, options.json ?? false);
    }),
  ),
);

program
  .command('keys create', 'Print a new API key and its digest; nothing is stored')
  .action(createAction((options: RawOptions) => createApiKey({ json: options.json ?? false })));

program
  .command('change <revision>', 'Show where a change is in force')
  .option('--accepted-at', 'Acceptance time that was printed with the change', 0)
  .option('--wait', 'Seconds to wait for the change to be in force everywhere', 0)
  .action(
    createAction((revision: string, options: RawOptions) =>
      withConnection(options, (connection) =>
        showChange(connection, parseNumber(revision, 'revision'), {
          acceptedAtMs: options['accepted-at'] ?? 0,
          waitSeconds: options.wait ?? 0,
          json: options.json ?? false,
        }),
      ),
    ),
  );

program
  .command('instances', 'List the instances known to the called instance')
  .action(
    createAction((options: RawOptions) =>
      withConnection(options, (connection) =>
        listInstances(connection, { json: options.json ?? false }),
      ),
    ),
  );

program
  .command('bills export', 'Print every bill once')
  .option('--workspace', 'Only bills of this workspace', '')
  .action(
    createAction((options: RawOptions) =>
      withConnection(options, (connection) =>
        exportBills(connection, {
          workspace: options.workspace ?? '',
          json: options.json ?? false,
        }),
      ),
    ),
  );

program
  .command('explain <id>', "Print the timeline of a request from the instances' logs")
  .example('explain 9c41d07be2a35f68 instance-1.log instance-2.log')
  .example('explain 9c41d07be2a35f68 < all.log')
  .action(
    createAction((id: string, options: RawOptions & { _: string[] }) =>
      explainRequest(String(id), { files: options._, json: options.json ?? false }),
    ),
  );

program
  .command('load', 'Send a workload to instances on this machine and print a table')
  .option('--callers', 'Base URLs of the callers ports, separated by commas')
  .option('--api-key', 'Workspace key; or CACTUSSTAIR_API_KEY')
  .option('--workload', 'league or decal', 'league')
  .option('--short-model', 'Model or cascade for short requests')
  .option('--long-model', 'Model or cascade for long requests')
  .option('--service', 'Path of a plain service, for example /services/ladder')
  .option('--rate', 'Arrivals a second at the peak of the day', 20)
  .option('--seconds', 'Length of the run', 30)
  .option('--hours', 'morning, evening or day; the hours are compressed into the run', 'day')
  .option('--seed', 'Seed of the arrivals', 1)
  .option('--json-file', 'Also write the result to this file')
  .action(
    createAction((options: RawOptions) => {
      const apiKey = options['api-key'] ?? process.env.CACTUSSTAIR_API_KEY;
      const { callers, 'short-model': shortModel, 'long-model': longModel } = options;
      if (!callers || !apiKey || !shortModel || !longModel) {
        throw new CliError(
          'load needs --callers, --api-key, --short-model and --long-model',
          exitCodes.usage,
        );
      }
      return runLoadCommand({
        callers,
        apiKey,
        workload: options.workload ?? 'league',
        shortModel,
        longModel,
        service: options.service,
        peakRate: options.rate ?? 20,
        seconds: options.seconds ?? 30,
        hours: options.hours ?? 'day',
        seed: options.seed ?? 1,
        jsonFile: options['json-file'],
      });
    }),
  );

program.parse(process.argv, {
  unknown: (flag) => `unknown option ${flag}; see cactusstair --help`,
});
