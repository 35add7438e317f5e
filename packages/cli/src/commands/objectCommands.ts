import type {
  CascadeList,
  Change,
  ModelList,
  OperatorClient,
  RolloutList,
  UpstreamList,
  WorkspaceList,
} from '@cactusstair/protocol';
import { RolloutAction } from '@cactusstair/protocol';

import { CliError, exitCodes } from '../cliError.js';
import { formatEnum, readObjectFile } from '../objectFiles.js';
import type { OperatorConnection } from '../operatorConnection.js';
import type { Column } from '../output.js';
import { formatTable, print, printJson } from '../output.js';

/** Options of the commands that read or write objects. */
export interface ObjectCommandOptions {
  json: boolean;
  /** Expected version of the object that is changed; 0 to create it. */
  expect: number;
}

type Item<List extends { items: unknown[] }> = List['items'][number];

interface ObjectKindCommands<List extends { items: unknown[] }> {
  list(connection: OperatorConnection): Promise<List>;
  get(connection: OperatorConnection, name: string): Promise<Item<List>>;
  /** Undefined for rollouts, which have the start command instead. */
  put?(connection: OperatorConnection, file: string, expectedVersion: number): Promise<Change>;
  columns: Column<Item<List>>[];
}

function getClient(connection: OperatorConnection): OperatorClient {
  return connection.client;
}

const workspaceCommands: ObjectKindCommands<WorkspaceList> = {
  list: (connection) => connection.call(getClient(connection).listWorkspaces, {}),
  get: (connection, name) => connection.call(getClient(connection).getWorkspace, { name }),
  put: (connection, file, expectedVersion) =>
    connection.call(getClient(connection).putWorkspace, {
      workspace: readObjectFile('workspace', file),
      expectedVersion,
    }),
  columns: [
    { title: 'NAME', value: ({ workspace }) => workspace?.name ?? '' },
    { title: 'VERSION', value: ({ version }) => version },
    {
      title: 'MODELS',
      value: ({ workspace }) =>
        (workspace?.allowedModels ?? []).map(({ model }) => model).join(','),
    },
    {
      title: 'SERVICES',
      value: ({ workspace }) => (workspace?.allowedServices ?? []).join(','),
    },
    { title: 'TOKENS/MIN', value: ({ workspace }) => workspace?.tokensPerMinute || 'unlimited' },
  ],
};

const modelCommands: ObjectKindCommands<ModelList> = {
  list: (connection) => connection.call(getClient(connection).listModels, {}),
  get: (connection, name) => connection.call(getClient(connection).getModel, { name }),
  put: (connection, file, expectedVersion) =>
    connection.call(getClient(connection).putModel, {
      model: readObjectFile('model', file),
      expectedVersion,
    }),
  columns: [
    { title: 'NAME', value: ({ model }) => model?.name ?? '' },
    { title: 'VERSION', value: ({ version }) => version },
    { title: 'CURRENT', value: ({ model }) => model?.currentVersion ?? '' },
    {
      title: 'VERSIONS',
      value: ({ model }) =>
        (model?.versions ?? [])
          .map((each) => `${each.version}:${formatEnum(each.state, 'VERSION_STATE')}`)
          .join(','),
    },
  ],
};

const upstreamCommands: ObjectKindCommands<UpstreamList> = {
  list: (connection) => connection.call(getClient(connection).listUpstreams, {}),
  get: (connection, name) => connection.call(getClient(connection).getUpstream, { name }),
  put: (connection, file, expectedVersion) =>
    connection.call(getClient(connection).putUpstream, {
      upstream: readObjectFile('upstream', file),
      expectedVersion,
    }),
  columns: [
    { title: 'NAME', value: ({ upstream }) => upstream?.name ?? '' },
    { title: 'VERSION', value: ({ version }) => version },
    { title: 'KIND', value: ({ upstream }) => formatEnum(upstream?.kind ?? '', 'UPSTREAM_KIND') },
    { title: 'ZONE', value: ({ upstream }) => upstream?.zone ?? '' },
    { title: 'URL', value: ({ upstream }) => upstream?.url ?? '' },
    { title: 'FENCING', value: ({ upstream }) => (upstream?.checksFencing ? 'checked' : '-') },
    { title: 'LEAVING', value: ({ upstream }) => upstream?.leaving ?? false },
  ],
};

const cascadeCommands: ObjectKindCommands<CascadeList> = {
  list: (connection) => connection.call(getClient(connection).listCascades, {}),
  get: (connection, name) => connection.call(getClient(connection).getCascade, { name }),
  put: (connection, file, expectedVersion) =>
    connection.call(getClient(connection).putCascade, {
      cascade: readObjectFile('cascade', file),
      expectedVersion,
    }),
  columns: [
    {
      title: 'NAME',
      value: ({ cascade }) => `${cascade?.workspace ?? ''}.${cascade?.name ?? ''}`,
    },
    { title: 'VERSION', value: ({ version }) => version },
    { title: 'RUNGS', value: ({ cascade }) => (cascade?.rungs ?? []).join(',') },
    { title: 'TARGET', value: ({ cascade }) => cascade?.qualityTarget ?? 0 },
    { title: 'SHARE', value: ({ cascade }) => cascade?.targetShare ?? 0 },
  ],
};

const rolloutCommands: ObjectKindCommands<RolloutList> = {
  list: (connection) => connection.call(getClient(connection).listRollouts, {}),
  get: (connection, name) => connection.call(getClient(connection).getRollout, { name }),
  columns: [
    { title: 'NAME', value: ({ rollout }) => rollout?.name ?? '' },
    { title: 'VERSION', value: ({ version }) => version },
    { title: 'MODEL', value: ({ rollout }) => rollout?.model ?? '' },
    { title: 'FROM', value: ({ rollout }) => rollout?.baselineVersion ?? '' },
    { title: 'TO', value: ({ rollout }) => rollout?.candidateVersion ?? '' },
    { title: 'PHASE', value: ({ rollout }) => formatEnum(rollout?.phase ?? '', 'ROLLOUT_PHASE') },
    {
      title: 'PERCENT',
      value: ({ rollout }) => rollout?.steps[rollout.stepIndex] ?? 0,
    },
    { title: 'REASON', value: ({ rollout }) => rollout?.reason ?? '' },
  ],
};

/** The commands of each kind of object, by its name on the command line. */
export const objectKinds = {
  workspace: workspaceCommands,
  model: modelCommands,
  upstream: upstreamCommands,
  cascade: cascadeCommands,
  rollout: rolloutCommands,
} as const;

export type ObjectKindName = keyof typeof objectKinds;

type AnyCommands = ObjectKindCommands<{ items: unknown[] }>;

function getCommands(kind: ObjectKindName): AnyCommands {
  return objectKinds[kind] as unknown as AnyCommands;
}

/** Prints an accepted change with the command that shows its progress. */
export function printChange(change: Change, json: boolean): void {
  if (json) {
    printJson(change);
    return;
  }
  print(
    `accepted: ${change.kind} ${change.name}, version ${change.version}, revision ${change.revision}\n` +
      `follow it with: cactusstair change ${change.revision} --accepted-at ${change.acceptedAtMs}`,
  );
}

export async function listObjects(
  connection: OperatorConnection,
  kind: ObjectKindName,
  options: ObjectCommandOptions,
): Promise<void> {
  const commands = getCommands(kind);
  const { items } = await commands.list(connection);
  if (options.json) printJson(items);
  else print(formatTable(items, commands.columns));
}

export async function showObject(
  connection: OperatorConnection,
  kind: ObjectKindName,
  name: string,
  options: ObjectCommandOptions,
): Promise<void> {
  const item = await getCommands(kind).get(connection, name);
  if (options.json) printJson(item);
  else print(JSON.stringify(item, undefined, 2));
}

export async function putObject(
  connection: OperatorConnection,
  kind: ObjectKindName,
  file: string,
  options: ObjectCommandOptions,
): Promise<void> {
  const { put } = getCommands(kind);
  if (!put) throw new CliError(`${kind} objects do not support put`, exitCodes.usage);
  printChange(await put(connection, file, options.expect), options.json);
}

const rolloutActions = {
  advance: RolloutAction.ADVANCE,
  pause: RolloutAction.PAUSE,
  resume: RolloutAction.RESUME,
  abort: RolloutAction.ABORT,
} as const;

export type RolloutActionName = keyof typeof rolloutActions;

/** Names of the actions on a rollout. */
export const rolloutActionNames = Object.keys(rolloutActions) as RolloutActionName[];

export async function controlRollout(
  connection: OperatorConnection,
  action: RolloutActionName,
  name: string,
  options: ObjectCommandOptions,
): Promise<void> {
  const change = await connection.call(connection.client.controlRollout, {
    name,
    action: rolloutActions[action],
    expectedVersion: options.expect,
  });
  printChange(change, options.json);
}

export async function startRollout(
  connection: OperatorConnection,
  file: string,
  options: ObjectCommandOptions,
): Promise<void> {
  const rollout = readObjectFile('rollout', file);
  printChange(await connection.call(connection.client.startRollout, { rollout }), options.json);
}
