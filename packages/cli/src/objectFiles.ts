import {
  Cascade,
  Model,
  Rollout,
  Upstream,
  UpstreamKind,
  VersionState,
  Workspace,
} from '@cactusstair/protocol';
import { formatSettingsProblem, loadSettings } from '@cactusstair/utils';
import { z } from 'zod';

import { CliError, exitCodes } from './cliError.js';

const versionStates = {
  candidate: VersionState.CANDIDATE,
  settled: VersionState.SETTLED,
  withdrawn: VersionState.WITHDRAWN,
} as const;

const upstreamKinds = { engine: UpstreamKind.ENGINE, service: UpstreamKind.SERVICE } as const;

function createEnumField<T extends Record<string, string>>(values: T) {
  return z
    .enum(Object.keys(values) as [string, ...string[]])
    .transform((name) => values[name as keyof T] as T[keyof T]);
}

const share = z.number().min(0).max(1);

const schemas = {
  workspace: z
    .strictObject({
      name: z.string(),
      apiKeyDigests: z.array(z.string()).default([]),
      allowedModels: z
        .array(z.strictObject({ model: z.string(), versions: z.array(z.string()).default([]) }))
        .default([]),
      allowedServices: z.array(z.string()).default([]),
      tokensPerMinute: z.number().int().nonnegative().default(0),
      weight: z.number().nonnegative().default(1),
    })
    .transform((fields) => Workspace.fromPartial(fields)),
  model: z
    .strictObject({
      name: z.string(),
      currentVersion: z.string(),
      versions: z.array(
        z.strictObject({
          version: z.string(),
          state: createEnumField(versionStates),
          promptMicrosPerKilotoken: z.number().int().nonnegative(),
          completionMicrosPerKilotoken: z.number().int().nonnegative(),
        }),
      ),
    })
    .transform((fields) => Model.fromPartial(fields)),
  upstream: z
    .strictObject({
      name: z.string(),
      kind: createEnumField(upstreamKinds),
      url: z.string(),
      zone: z.string(),
      service: z.string().default(''),
      checksFencing: z.boolean().default(false),
      nonIdempotent: z.boolean().default(false),
      slots: z.number().int().nonnegative().default(0),
      leaving: z.boolean().default(false),
    })
    .transform((fields) => Upstream.fromPartial(fields)),
  cascade: z
    .strictObject({
      name: z.string(),
      workspace: z.string(),
      rungs: z.array(z.string()).min(1),
      qualityTarget: share,
      targetShare: share,
    })
    .transform((fields) => Cascade.fromPartial(fields)),
  rollout: z
    .strictObject({
      name: z.string(),
      model: z.string(),
      candidateVersion: z.string(),
      steps: z.array(z.number().int()).min(1),
      minRatingsPerStep: z.number().int().nonnegative().default(50),
      qualityMargin: share.default(0.05),
    })
    .transform((fields) => Rollout.fromPartial(fields)),
};

/** Kinds of objects that operators write in files. */
export type ObjectKind = keyof typeof schemas;

/** The protocol message of an object kind. */
export type ObjectOf<K extends ObjectKind> = z.output<(typeof schemas)[K]>;

/**
 * Reads an object from a YAML file.
 *
 * @throws CliError with the file, line and key of every problem.
 */
export function readObjectFile<K extends ObjectKind>(kind: K, file: string): ObjectOf<K> {
  const schema = schemas[kind] as unknown as z.ZodType<ObjectOf<K>>;
  return loadSettings(file, schema).match(
    (object) => object,
    (problems) => {
      throw new CliError(problems.map(formatSettingsProblem).join('\n'), exitCodes.usage);
    },
  );
}

/** Formats an enum value as in object files: `VERSION_STATE_SETTLED` becomes `settled`. */
export function formatEnum(value: string, prefix: string): string {
  return value.replace(`${prefix}_`, '').toLowerCase();
}
