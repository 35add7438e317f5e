import { request } from 'node:http';

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
  /** The store, for everything that a peer does not answer. */
  store: ChangeSource<T>;
  /** Returns the instance that passes changes on to this one; undefined when there is none. */
  findProvider: () => SocketAddress | undefined;
}

// Within a zone an answer takes a few milliseconds; one that is later comes from the store instead.
const CALL_TIMEOUT_MS = 300;
/** A state that the peer has not confirmed for longer is asked for at the store. */
const MAX_PEER_AGE_MS = 1500;
/** Many times the longest answer of a peer. */
const MAX_ANSWER_BYTES = 1024 * 1024;

function parseChanges<T>(text: string): ExportedChanges<T> | undefined {
  try {
    const value = JSON.parse(text) as Partial<ExportedChanges<T>> | null;
    const isValid =
      Array.isArray(value?.changes) &&
      typeof value.revision === 'number' &&
      typeof value.ageMs === 'number' &&
      typeof value.isDisturbed === 'boolean';
    return isValid ? (value as ExportedChanges<T>) : undefined;
  } catch {
    return undefined;
  }
}

function fetchText(address: SocketAddress, path: string): Promise<string | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ ...address, path, agent: false });
    const timer = setTimeout(() => outgoing.destroy(), CALL_TIMEOUT_MS);
    const finish = (text: string | undefined) => {
      clearTimeout(timer);
      resolve(text);
    };
    outgoing.on('error', () => finish(undefined));
    outgoing.on('close', () => finish(undefined));
    outgoing.on('response', (answer) => {
      const chunks: Buffer[] = [];
      let size = 0;
      answer.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAX_ANSWER_BYTES) outgoing.destroy();
        chunks.push(chunk);
      });
      answer.on('error', () => finish(undefined));
      answer.on('end', () => {
        const isWhole = answer.complete && answer.statusCode === 200;
        finish(isWhole ? Buffer.concat(chunks).toString('utf8') : undefined);
      });
    });
    outgoing.end();
  });
}

/**
 * Reads changes from an instance that waits for them at the store, so that a change costs the store
 * a call for each of these and not for each instance.
 */
export class PeerSource<T> implements ChangeSource<T> {
  constructor(private readonly options: PeerSourceOptions<T>) {}

  list() {
    return this.options.store.list();
  }

  async poll(revision: number, waitMs: number): Promise<Result<SourceChanges<T>, SourceFailure>> {
    const provider = waitMs === 0 ? this.options.findProvider() : undefined;
    const text = provider && (await fetchText(provider, this.formatPath(revision)));
    const exported = text === undefined ? undefined : parseChanges<T>(text);
    // A peer that is behind, or was cut off from the store itself, proves nothing.
    const isProof =
      exported !== undefined &&
      !exported.isDisturbed &&
      exported.ageMs <= MAX_PEER_AGE_MS &&
      exported.revision >= revision;
    if (isProof) return ok(exported);
    return this.options.store.poll(revision, waitMs);
  }

  private formatPath(revision: number): string {
    return `${VIEW_PATH}${this.options.name}?since=${revision}`;
  }
}
