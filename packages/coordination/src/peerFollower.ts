import type { ConfigDelta, FetchConfigRequest } from '@cactusstair/protocol';
import type { Clock, Random } from '@cactusstair/utils';
import { createRandom, systemClock } from '@cactusstair/utils';

import type { ConfigReplica } from './configReplica.js';

/** Calls `FetchConfig` of a peer. `signal` aborts when the answer is no longer wanted. */
export type FetchConfigCall = (
  peer: string,
  request: FetchConfigRequest,
  signal: AbortSignal,
) => Promise<ConfigDelta>;

/**
 * Why the follower switches to another peer. An `unconfirmed` answer was applied, but the peer has
 * no recent confirmation, so another peer may have a newer configuration.
 */
export type PeerProblem = 'bad_signature' | 'stale' | 'no_answer' | 'unconfirmed';

/** Options of `PeerFollower`. */
export interface PeerFollowerOptions {
  replica: ConfigReplica;
  /** Returns the peers to follow, usually the watchers of the zone; read before each call. */
  getPeers: () => readonly string[];
  fetchConfig: FetchConfigCall;
  clock?: Clock;
  random?: Random;
  /**
   * Time for which a peer may delay its answer until a change occurs, in milliseconds. It adds to
   * the age of the confirmation, so it must stay well below the shortest permit. Default 1000.
   */
  waitMs?: number;
  /** Time beyond `waitMs` after which a call counts as failed, in milliseconds. Default 1000. */
  timeoutMs?: number;
  /** Age of a peer's confirmation above which the next peer is tried, in ms. Default 5000. */
  maxConfirmedAgeMs?: number;
  /** Shortest time between the starts of two calls, in milliseconds. Default 250. */
  minIntervalMs?: number;
  onProblem?: (peer: string, problem: PeerProblem) => void;
}

const DEFAULT_WAIT_MS = 1000;
const DEFAULT_TIMEOUT_MS = 1000;
const DEFAULT_MIN_INTERVAL_MS = 250;
// Half of the default permit of a candidate, which leaves time to find a more current peer.
const DEFAULT_MAX_CONFIRMED_AGE_MS = 5000;

// Upper limit of a peer's `waitMs`, which bounds how long its call is held open.
const MAX_WAIT_MS = 10_000;

/** Keeps a replica up to date by long polling a peer; switches to the next peer after a problem. */
export class PeerFollower {
  private readonly clock: Clock;

  private peerIndex: number;

  constructor(private readonly options: PeerFollowerOptions) {
    this.clock = options.clock ?? systemClock;
    // Followers start with different peers, so that the watchers of a zone share the load.
    this.peerIndex = (options.random ?? createRandom(Date.now())).nextInt(1024);
  }

  /** Follows the peers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAtMs = this.clock.monotonicMs();
      const peers = this.options.getPeers();
      const peer = peers[this.peerIndex % Math.max(1, peers.length)];
      if (peer !== undefined) {
        const problem = await this.followOnce(peer, signal);
        if (problem && !signal.aborted) {
          this.peerIndex += 1;
          this.options.onProblem?.(peer, problem);
        }
      }
      const minIntervalMs = this.options.minIntervalMs ?? DEFAULT_MIN_INTERVAL_MS;
      const delayMs = startedAtMs + minIntervalMs - this.clock.monotonicMs();
      if (delayMs > 0) await this.clock.sleep(delayMs, signal);
    }
  }

  private async followOnce(peer: string, signal: AbortSignal): Promise<PeerProblem | undefined> {
    const { replica } = this.options;
    const startedAtMs = this.clock.monotonicMs();
    const request = {
      afterRevision: replica.appliedRevision,
      waitMs: this.options.waitMs ?? DEFAULT_WAIT_MS,
    };
    const delta = await this.fetch(peer, request, signal);
    if (!delta) return 'no_answer';
    const imported = replica.importDelta(delta, startedAtMs);
    if (imported.isErr()) return imported.error;
    const maxAgeMs = this.options.maxConfirmedAgeMs ?? DEFAULT_MAX_CONFIRMED_AGE_MS;
    const isConfirmed = delta.confirmedAgeMs >= 0 && delta.confirmedAgeMs <= maxAgeMs;
    return isConfirmed ? undefined : 'unconfirmed';
  }

  /** Returns undefined when the peer fails or does not answer in time. */
  private async fetch(
    peer: string,
    request: FetchConfigRequest,
    outerSignal: AbortSignal,
  ): Promise<ConfigDelta | undefined> {
    const call = new AbortController();
    const abort = () => call.abort();
    outerSignal.addEventListener('abort', abort, { once: true });
    const timeoutMs = request.waitMs + (this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    try {
      return await Promise.race([
        this.options.fetchConfig(peer, request, call.signal),
        this.clock.sleep(timeoutMs, call.signal).then(() => undefined),
      ]);
    } catch {
      return undefined;
    } finally {
      abort();
      outerSignal.removeEventListener('abort', abort);
    }
  }
}

/**
 * Answers a peer's `FetchConfig`: at once if there is a change above its revision, otherwise at the
 * next change or after `waitMs`.
 */
export async function answerFetchConfig(
  replica: ConfigReplica,
  request: FetchConfigRequest,
  options: { clock?: Clock; signal?: AbortSignal } = {},
): Promise<ConfigDelta> {
  const waitMs = Math.min(request.waitMs, MAX_WAIT_MS);
  if (waitMs > 0 && !replica.hasChangesAfter(request.afterRevision)) {
    const wait = new AbortController();
    const wake = () => wait.abort();
    replica.onChange(wake);
    options.signal?.addEventListener('abort', wake, { once: true });
    await (options.clock ?? systemClock).sleep(waitMs, wait.signal);
    replica.offChange(wake);
    options.signal?.removeEventListener('abort', wake);
  }
  // Exported after the wait, so that the age of the confirmation includes it.
  return replica.exportDelta(request.afterRevision);
}
