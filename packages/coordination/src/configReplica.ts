import type {
  Cascade,
  ConfigDelta,
  ConfigObject,
  Model,
  Rollout,
  SessionKeys,
  Upstream,
  Workspace,
} from '@cactusstair/protocol';
import type { Clock } from '@cactusstair/utils';
import { systemClock } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ConfigKind, ConfigMessage } from './configObjects.js';
import {
  formatCascadeName,
  isConfigKind,
  parseConfigValue,
  signDelta,
  verifyDelta,
} from './configObjects.js';

/** Options of `ConfigReplica`. */
export interface ConfigReplicaOptions {
  /** Key that all instances share; signs the deltas between them. */
  clusterKey: Uint8Array;
  clock?: Clock;
  /** Called for an object whose value cannot be parsed. The replica treats it as absent. */
  onInvalidObject?: (object: ConfigObject, error: Error) => void;
  /** Number of tombstones above which the older half is dropped. Default 4096. */
  maxTombstones?: number;
}

/** Called after changes are applied, with the objects that changed, deletions included. */
export type ConfigListener = (changed: readonly ConfigObject[]) => void;

interface HeldObject {
  object: ConfigObject;
  /** Undefined for a deleted or invalid object. */
  message: ConfigMessage<ConfigKind> | undefined;
}

interface PendingConfirmation {
  startedAtMs: number;
  revision: number;
}

const DEFAULT_MAX_TOMBSTONES = 4096;

// Limit of the confirmations whose revision is not yet applied. Above it only the newest one is
// replaced, because a lagging replica reaches the oldest revisions first.
const MAX_PENDING_CONFIRMATIONS = 16;

/** This instance's copy of the configuration. Objects never go back to a lower revision. */
export class ConfigReplica {
  private readonly clock: Clock;

  private readonly held = new Map<string, HeldObject>();

  private readonly namesByKind = new Map<ConfigKind, Set<string>>();

  private readonly workspacesByDigest = new Map<string, Set<string>>();

  private readonly listeners = new Set<ConfigListener>();

  private readonly pending: PendingConfirmation[] = [];

  private tombstones = 0;

  /**
   * Changes up to this revision to an object that is not held are ignored: a snapshot did not list
   * the object, or its tombstone was pruned.
   */
  private floorRevision = 0;

  private applied = 0;

  private confirmedAtMs = -Infinity;

  constructor(private readonly options: ConfigReplicaOptions) {
    this.clock = options.clock ?? systemClock;
  }

  /** Every configuration change up to this revision is applied. */
  get appliedRevision(): number {
    return this.applied;
  }

  /**
   * Applies the objects whose revision is higher than the one held.
   *
   * @param appliedRevision together with what was applied before, the objects hold every change up
   * to this revision. Pass 0 if that is not known.
   */
  applyObjects(objects: readonly ConfigObject[], appliedRevision: number): void {
    this.advance(
      objects.filter((object) => this.applyObject(object)),
      appliedRevision,
    );
  }

  /**
   * Applies a complete list of the objects that existed at `revision`. Held objects up to that
   * revision that the list lacks are deleted. The list may also hold later changes.
   */
  applySnapshot(objects: readonly ConfigObject[], revision: number): void {
    const listed = new Set(objects.map(formatKey));
    const changed = objects.filter((object) => this.applyObject(object));
    // A snapshot older than the replica's state does not list objects created since.
    if (revision >= this.applied) {
      for (const [key, { object }] of this.held) {
        if (object.deleted || object.revision > revision || listed.has(key)) continue;
        const tombstone = { ...object, revision, deleted: true, value: '' };
        if (this.applyObject(tombstone)) changed.push(tombstone);
      }
      this.floorRevision = Math.max(this.floorRevision, revision);
    }
    this.advance(changed, revision);
  }

  /**
   * Records that the store's revision was `revision` at some time after `startedAtMs`. Takes effect
   * as soon as that revision is applied.
   *
   * @param startedAtMs this instance's monotonic clock, read before the revision was requested.
   */
  confirm(startedAtMs: number, revision: number): void {
    if (revision <= this.applied) {
      this.confirmedAtMs = Math.max(this.confirmedAtMs, startedAtMs);
      return;
    }
    if (this.pending.length >= MAX_PENDING_CONFIRMATIONS) this.pending.pop();
    this.pending.push({ startedAtMs, revision });
  }

  /** Returns the time since this replica was last known to be complete, or Infinity. */
  getConfirmedAgeMs(): number {
    return Math.max(0, this.clock.monotonicMs() - this.confirmedAtMs);
  }

  getWorkspace(name: string): Workspace | undefined {
    return this.getMessage('workspace', name);
  }

  getModel(name: string): Model | undefined {
    return this.getMessage('model', name);
  }

  getCascade(workspace: string, name: string): Cascade | undefined {
    const cascade = this.getMessage('cascade', formatCascadeName(workspace, name));
    // The fields are compared because object names are ambiguous: workspace a.b with cascade c has
    // the same name as workspace a with cascade b.c.
    return cascade?.workspace === workspace && cascade.name === name ? cascade : undefined;
  }

  /** Returns the cascades of one workspace. */
  getCascades(workspace: string): Cascade[] {
    return this.getMessages('cascade').filter((cascade) => cascade.workspace === workspace);
  }

  getRollouts(): Rollout[] {
    return this.getMessages('rollout');
  }

  getUpstreams(): Upstream[] {
    return this.getMessages('upstream');
  }

  /** Returns the keys of `sessionkeys/current`; none if the object is missing. */
  getSessionKeys(): SessionKeys {
    return this.getMessage('sessionkeys', 'current') ?? { keys: [] };
  }

  /**
   * Finds the workspace that accepts an API key.
   *
   * @param digest lower-case hexadecimal SHA-256 of the key.
   * @returns undefined also if two workspaces list the digest, so that neither is billed for the
   * other.
   */
  findWorkspaceByKeyDigest(digest: string): Workspace | undefined {
    const names = this.workspacesByDigest.get(digest);
    if (names?.size !== 1) return undefined;
    const [name] = names;
    return name === undefined ? undefined : this.getWorkspace(name);
  }

  /** Whether a delta above a revision would carry any object. */
  hasChangesAfter(revision: number): boolean {
    if (revision <= 0 || revision < this.floorRevision) return this.held.size > 0;
    return [...this.held.values()].some((held) => held.object.revision > revision);
  }

  /**
   * Returns the signed changes above a revision, or a signed snapshot if this replica no longer
   * holds every tombstone since then.
   */
  exportDelta(afterRevision: number): ConfigDelta {
    const isSnapshot = afterRevision <= 0 || afterRevision < this.floorRevision;
    const objects = [...this.held.values()]
      .map((held) => held.object)
      .filter((object) => (isSnapshot ? !object.deleted : object.revision > afterRevision));
    const ageMs = this.getConfirmedAgeMs();
    const delta = {
      objects,
      appliedRevision: this.applied,
      afterRevision: isSnapshot ? 0 : afterRevision,
      // Rounded up, so that the importer does not underestimate the age.
      confirmedAgeMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : -1,
    };
    return { ...delta, hmac: signDelta(delta, this.options.clusterKey) };
  }

  /**
   * Applies a peer's delta and its confirmation.
   *
   * @param startedAtMs this instance's monotonic clock, read before the delta was requested.
   * @returns `stale` if the peer has applied less than this replica, or if the delta starts above
   * what this replica has applied and so would leave a gap.
   */
  importDelta(delta: ConfigDelta, startedAtMs: number): Result<void, 'bad_signature' | 'stale'> {
    if (!verifyDelta(delta, this.options.clusterKey)) return err('bad_signature');
    if (delta.appliedRevision < this.applied || delta.afterRevision > this.applied) {
      return err('stale');
    }
    if (delta.afterRevision === 0) this.applySnapshot(delta.objects, delta.appliedRevision);
    else this.applyObjects(delta.objects, delta.appliedRevision);
    if (delta.confirmedAgeMs >= 0) {
      // The peer computed the age after the call started, so this is a lower bound of the time at
      // which the peer was complete, on this instance's clock.
      this.confirm(startedAtMs - delta.confirmedAgeMs, delta.appliedRevision);
    }
    return ok(undefined);
  }

  /** Registers a listener for changes. */
  onChange(listener: ConfigListener): void {
    this.listeners.add(listener);
  }

  /** Removes a listener. */
  offChange(listener: ConfigListener): void {
    this.listeners.delete(listener);
  }

  private applyObject(object: ConfigObject): boolean {
    const { kind, name, revision } = object;
    if (!isConfigKind(kind)) return false;
    const key = formatKey(object);
    const previous = this.held.get(key);
    // The floor also applies to a held tombstone: before a later snapshot the object may have been
    // re-created and deleted again without this replica receiving either change.
    const isAbsent = previous === undefined || previous.object.deleted;
    const heldRevision = previous?.object.revision ?? 0;
    if (revision <= Math.max(heldRevision, isAbsent ? this.floorRevision : 0)) return false;
    const message = object.deleted ? undefined : this.parse(kind, object);
    this.indexDigests(kind, name, previous?.message, message);
    this.tombstones += Number(object.deleted) - Number(previous?.object.deleted ?? false);
    this.held.set(key, { object, message });
    const names = this.namesByKind.get(kind) ?? new Set();
    this.namesByKind.set(kind, names.add(name));
    return true;
  }

  private parse(kind: ConfigKind, object: ConfigObject): ConfigMessage<ConfigKind> | undefined {
    try {
      return parseConfigValue(kind, object.value);
    } catch (error) {
      this.options.onInvalidObject?.(object, error as Error);
      return undefined;
    }
  }

  private indexDigests(
    kind: ConfigKind,
    name: string,
    previous: HeldObject['message'],
    next: HeldObject['message'],
  ): void {
    if (kind !== 'workspace') return;
    for (const digest of (previous as Workspace | undefined)?.apiKeyDigests ?? []) {
      const names = this.workspacesByDigest.get(digest);
      names?.delete(name);
      if (names?.size === 0) this.workspacesByDigest.delete(digest);
    }
    for (const digest of (next as Workspace | undefined)?.apiKeyDigests ?? []) {
      const names = this.workspacesByDigest.get(digest) ?? new Set();
      this.workspacesByDigest.set(digest, names.add(name));
    }
  }

  private advance(changed: readonly ConfigObject[], revision: number): void {
    this.applied = Math.max(this.applied, revision);
    const reached = this.pending.filter((entry) => entry.revision <= this.applied);
    for (const entry of reached) {
      this.pending.splice(this.pending.indexOf(entry), 1);
      this.confirm(entry.startedAtMs, entry.revision);
    }
    if (this.tombstones > (this.options.maxTombstones ?? DEFAULT_MAX_TOMBSTONES)) {
      this.pruneTombstones();
    }
    if (changed.length > 0) for (const listener of this.listeners) listener(changed);
  }

  /**
   * Drops the older half of the tombstones up to the applied revision and raises `floorRevision`.
   */
  private pruneTombstones(): void {
    const oldest = [...this.held]
      .filter(([, { object }]) => object.deleted && object.revision <= this.applied)
      .sort(([, a], [, b]) => a.object.revision - b.object.revision);
    for (const [key, { object }] of oldest.slice(0, Math.ceil(oldest.length / 2))) {
      this.held.delete(key);
      this.namesByKind.get(object.kind as ConfigKind)?.delete(object.name);
      this.floorRevision = Math.max(this.floorRevision, object.revision);
      this.tombstones -= 1;
    }
  }

  private getMessage<K extends ConfigKind>(kind: K, name: string): ConfigMessage<K> | undefined {
    return this.held.get(formatKey({ kind, name }))?.message as ConfigMessage<K> | undefined;
  }

  private getMessages<K extends ConfigKind>(kind: K): ConfigMessage<K>[] {
    return [...(this.namesByKind.get(kind) ?? [])]
      .sort()
      .map((name) => this.getMessage(kind, name))
      .filter((message) => message !== undefined);
  }
}

function formatKey(object: Pick<ConfigObject, 'kind' | 'name'>): string {
  return `${object.kind}/${object.name}`;
}
