import { createHmac, timingSafeEqual } from 'node:crypto';

import type { ConfigDelta, ConfigObject } from '@cactusstair/protocol';
import { Cascade, Model, Rollout, SessionKeys, Upstream, Workspace } from '@cactusstair/protocol';

import type { StoredObject } from './objectStore.js';

const messageByKind = {
  workspace: Workspace,
  model: Model,
  upstream: Upstream,
  cascade: Cascade,
  rollout: Rollout,
  sessionkeys: SessionKeys,
} as const;

/** Kind of a configuration object in the object API. */
export type ConfigKind = keyof typeof messageByKind;

/** Protocol message type of the objects of a configuration kind. */
export type ConfigMessage<K extends ConfigKind> = ReturnType<(typeof messageByKind)[K]['fromJSON']>;

/** Every kind of object that the replica holds. */
export const configKinds = Object.keys(messageByKind) as ConfigKind[];

/** Whether a kind belongs to the configuration. */
export function isConfigKind(kind: string): kind is ConfigKind {
  return Object.hasOwn(messageByKind, kind);
}

/**
 * Parses the JSON text of a configuration object.
 *
 * @throws Error when the text is not a JSON object.
 */
export function parseConfigValue<K extends ConfigKind>(kind: K, text: string): ConfigMessage<K> {
  const json: unknown = JSON.parse(text);
  if (typeof json !== 'object' || json === null || Array.isArray(json)) {
    throw new Error(`the value of a ${kind} must be a JSON object`);
  }
  return messageByKind[kind].fromJSON(json) as ConfigMessage<K>;
}

/** Formats a configuration message as the JSON value that the object API stores. */
export function formatConfigValue<K extends ConfigKind>(
  kind: K,
  message: ConfigMessage<K>,
): Record<string, unknown> {
  const { toJSON } = messageByKind[kind] as { toJSON(value: ConfigMessage<K>): unknown };
  return toJSON(message) as Record<string, unknown>;
}

/** Returns the name of the object that holds a cascade. */
export function formatCascadeName(workspace: string, cascade: string): string {
  return `${workspace}.${cascade}`;
}

/** Converts an object of the object API to the form that replicas exchange. */
export function toConfigObject(object: StoredObject): ConfigObject {
  const { kind, name, version, revision, value } = object;
  return { kind, name, version, revision, deleted: false, value: JSON.stringify(value) };
}

/** Signs a delta. The HMAC covers every other field, each with its length or as JSON text. */
export function signDelta(delta: Omit<ConfigDelta, 'hmac'>, clusterKey: Uint8Array): string {
  const objects = delta.objects.map((object) => [
    object.kind,
    object.name,
    object.version,
    object.revision,
    object.deleted,
    object.value,
  ]);
  // The prefix separates this signature from other uses of the cluster key (domain separation).
  const signed = ['config-delta-v1', delta.afterRevision, delta.appliedRevision];
  return createHmac('sha256', clusterKey)
    .update(JSON.stringify([...signed, delta.confirmedAgeMs, objects]))
    .digest('base64url');
}

/** Checks the signature of a delta in constant time. */
export function verifyDelta(delta: ConfigDelta, clusterKey: Uint8Array): boolean {
  const expected = Buffer.from(signDelta(delta, clusterKey));
  const given = Buffer.from(delta.hmac);
  return expected.length === given.length && timingSafeEqual(expected, given);
}
