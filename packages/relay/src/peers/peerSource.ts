import { request } from 'node:http';

import { ByteCollector } from '@cactusstair/utils';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';

import type { ChangeSource, SourceChanges, SourceFailure } from '../follow/changeSource.js';
import type { ExportedChanges } from '../follow/sourceFollower.js';
import type { SocketAddress } from '../relayOptions.js';
import type { ViewName } from './peerMessage.js';
import { VIEW_PATH } from './viewServer.js';

/** Options of `PeerSource`. */
export interface PeerSourceOptions<T> {
  name: ViewName;
  /** The store, which is read whenever the peer cannot answer. */
  store: ChangeSource<T>;
  /** Returns the address of the instance to read changes from; undefined if there is none. */
  findProvider: () => SocketAddress | undefined;
}

// Within a zone an answer takes a few milliseconds. After this timeout the store is read instead.
export const PEER_CALL_TIMEOUT_MS = 300;
/** If the peer confirmed its state longer ago than this, the store is read instead. */
const MAX_PEER_AGE_MS = 1500;
/** Many times the longest answer that a peer sends. */
const MAX_ANSWER_BYTES = 1024 * 1024;

function parseChanges<T>(text: string): ExportedChanges<T> | undefined {
  try {
    const value = JSON.parse(text) as Partial<ExportedChanges<T>> | null;
    const isValid =
      Array.isArray(value?.changes) &&
      typeof value.revision === 'number' &&
      typeof value.ageMs === 'number' &&
      (value.era === undefined || typeof value.era === 'number') &&
      typeof value.isDisturbed === 'boolean';
    return isValid ? (value as ExportedChanges<T>) : undefined;
  } catch {
    return undefined;
  }
}

function fetchText(address: SocketAddress, path: string): Promise<string | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ ...address, path, agent: false });
    const timer = setTimeout(() => outgoing.destroy(), PEER_CALL_TIMEOUT_MS);
    const finish = (text: string | undefined) => {
      clearTimeout(timer);
      resolve(text);
    };
    outgoing.on('error', () => finish(undefined));
    outgoing.on('close', () => finish(undefined));
    outgoing.on('response', (answer) => {
      const received = new ByteCollector(MAX_ANSWER_BYTES);
      answer.on('data', (chunk: Buffer) => {
        if (!received.append(chunk)) outgoing.destroy();
      });
      answer.on('error', () => finish(undefined));
      answer.on('end', () => {
        const isWhole = answer.complete && answer.statusCode === 200;
        finish(isWhole ? received.takeBuffer().toString('utf8') : undefined);
      });
    });
    outgoing.end();
  });
}

/**
 * Reads changes from a peer that long-polls the store, and falls back to the store. A change then
 * costs the store one call for each polling instance instead of one for every instance.
 */
export class PeerSource<T> implements ChangeSource<T> {
  constructor(private readonly options: PeerSourceOptions<T>) {}

  list() {
    return this.options.store.list();
  }

  async poll(
    revision: number,
    waitMs: number,
    era?: number,
  ): Promise<Result<SourceChanges<T>, SourceFailure>> {
    const provider = waitMs === 0 ? this.options.findProvider() : undefined;
    const text = provider && (await fetchText(provider, this.formatPath(revision, era)));
    const exported = text === undefined ? undefined : parseChanges<T>(text);
    // Ignore a peer that is behind, that has lost contact with the store itself, or whose revisions
    // are of another era.
    const isUsable =
      exported !== undefined &&
      exported.era === era &&
      !exported.isDisturbed &&
      exported.ageMs <= MAX_PEER_AGE_MS &&
      exported.revision >= revision;
    if (isUsable) return ok(exported);
    return this.options.store.poll(revision, waitMs, era);
  }

  private formatPath(revision: number, era: number | undefined): string {
    const eraQuery = era === undefined ? '' : `&era=${era}`;
    return `${VIEW_PATH}${this.options.name}?since=${revision}${eraQuery}`;
  }
}
