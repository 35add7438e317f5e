import { createHash } from 'node:crypto';

import type { KeptAnswer } from '@cactusstair/protocol';

/** One claim as it is stored in its shard object. */
export interface ClaimEntry {
  owner: string;
  incarnation: number;
  /** Distinguishes the claims of one owner; shows after a lost answer if the claim is stored. */
  nonce: string;
  /** Hash of the caller's digest. */
  requestDigest: string;
  state: 'claimed' | 'done';
  /** Wall-clock time of the claim or of its completion. */
  changedAtMs: number;
  /** Absent while the request runs and when the answer was too large to keep. */
  answer?: { status: number; contentType: string; bodyBase64: string };
}

/** Limits of one shard object. */
export interface ClaimShardLimits {
  /** Largest serialised size of a shard in bytes. */
  maxBytes: number;
  /** Time for which a claim or its answer is kept, in milliseconds. */
  retentionMs: number;
}

/** Old answers are dropped down to this fraction of the limit, so that it happens rarely. */
const ANSWER_DROP_TARGET = 0.9;

/** Length of a hash in characters: 132 bits, enough that no collisions are expected. */
const HASH_LENGTH = 22;

/** Computes a hash of fixed length that replaces `text` in a shard. */
export function computeHash(text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, HASH_LENGTH);
}

/** Computes the key of a claim in its shard. */
export function computeEntryKey(workspace: string, key: string): string {
  return computeHash(`${workspace.length}:${workspace}${key}`);
}

/** Computes the shard number of an entry key. */
export function computeShardNumber(entryKey: string, shards: number): number {
  return Buffer.from(entryKey, 'base64url').readUInt32BE(0) % shards;
}

/** Converts a kept answer to its stored form. */
export function encodeAnswer(answer: KeptAnswer): NonNullable<ClaimEntry['answer']> {
  return {
    status: answer.status,
    contentType: answer.contentType,
    bodyBase64: Buffer.from(answer.body).toString('base64'),
  };
}

/** Converts a stored answer back; returns undefined when none was kept. */
export function decodeAnswer(answer: ClaimEntry['answer']): KeptAnswer | undefined {
  if (!answer) return undefined;
  const body = Buffer.from(answer.bodyBase64, 'base64');
  return { status: answer.status, contentType: answer.contentType, body };
}

function measureEntry(entryKey: string, entry: ClaimEntry): number {
  return Buffer.byteLength(JSON.stringify(entry)) + entryKey.length + 4;
}

/** A working copy of one shard object that tracks its serialised size. */
export class ClaimShard {
  private readonly entries: Map<string, ClaimEntry>;

  private bytes = 16;

  constructor(
    value: unknown,
    private readonly limits: ClaimShardLimits,
  ) {
    const stored = (value as { entries?: Record<string, ClaimEntry> } | undefined)?.entries ?? {};
    this.entries = new Map(Object.entries(stored));
    for (const [entryKey, entry] of this.entries) this.bytes += measureEntry(entryKey, entry);
  }

  get(entryKey: string): ClaimEntry | undefined {
    return this.entries.get(entryKey);
  }

  /** Adds a claim. Returns false when the shard is full even after dropping old answers. */
  tryAdd(entryKey: string, entry: ClaimEntry): boolean {
    const size = measureEntry(entryKey, entry);
    if (this.bytes + size > this.limits.maxBytes) this.dropOldAnswers(size);
    if (this.bytes + size > this.limits.maxBytes) return false;
    this.set(entryKey, entry);
    return true;
  }

  /**
   * Stores the outcome of a claim. The answer is left out when it does not fit. The outcome
   * itself is always stored; it adds a few bytes to an entry that was within the limit.
   */
  setDone(entryKey: string, entry: ClaimEntry): void {
    const added = measureEntry(entryKey, entry);
    if (entry.answer && this.bytes + added > this.limits.maxBytes) this.dropOldAnswers(added);
    const { answer, ...withoutAnswer } = entry;
    const fits = answer && this.bytes + added <= this.limits.maxBytes;
    this.set(entryKey, fits ? entry : withoutAnswer);
  }

  remove(entryKey: string): void {
    const entry = this.entries.get(entryKey);
    if (!entry) return;
    this.bytes -= measureEntry(entryKey, entry);
    this.entries.delete(entryKey);
  }

  /** Removes the entries that are older than the retention. */
  prune(nowMs: number): void {
    for (const [entryKey, entry] of this.entries) {
      if (nowMs - entry.changedAtMs > this.limits.retentionMs) this.remove(entryKey);
    }
  }

  toValue(): { entries: Record<string, ClaimEntry> } {
    return { entries: Object.fromEntries(this.entries) };
  }

  private set(entryKey: string, entry: ClaimEntry): void {
    this.remove(entryKey);
    this.entries.set(entryKey, entry);
    this.bytes += measureEntry(entryKey, entry);
  }

  /** Drops the oldest answers but keeps their claims, so that the requests do not run again. */
  private dropOldAnswers(neededBytes: number): void {
    const targetBytes = this.limits.maxBytes * ANSWER_DROP_TARGET - neededBytes;
    const answered = [...this.entries].filter(([, entry]) => entry.answer);
    answered.sort(([, a], [, b]) => a.changedAtMs - b.changedAtMs);
    for (const [entryKey, entry] of answered) {
      if (this.bytes <= targetBytes) return;
      const { answer, ...withoutAnswer } = entry;
      this.set(entryKey, withoutAnswer);
    }
  }
}
