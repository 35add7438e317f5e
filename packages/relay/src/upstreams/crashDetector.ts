import { connect } from 'node:net';

import type { Clock } from '@cactusstair/utils';

import type { Upstream } from './upstream.js';

/** Time after which a check ends without a result, in milliseconds. */
const CHECK_TIMEOUT_MS = 500;

/** Opens a connection and resolves with whether nothing listens at the upstream's address. */
function isRefusing({ record }: Upstream): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: record.host, port: record.port, timeout: CHECK_TIMEOUT_MS });
    const finish = (isRefused: boolean) => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.on('connect', () => finish(false));
    socket.on('timeout', () => finish(false));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
  });
}

/**
 * Tells an upstream that crashed from one that lost a single connection or answer: after a crash,
 * nothing listens at its address until it has started again.
 */
export class CrashDetector {
  private readonly checks = new Map<string, Promise<boolean>>();

  private readonly refusedAtMs = new WeakMap<Upstream, number>();

  /** @param onCrash called for each upstream that was found to have crashed */
  constructor(
    private readonly clock: Clock,
    private readonly onCrash: (upstream: Upstream) => void,
  ) {}

  /**
   * Checks an upstream that ended a connection before its answer was complete.
   *
   * @returns whether it has crashed
   */
  check(upstream: Upstream): Promise<boolean> {
    const running = this.checks.get(upstream.id);
    if (running) return running;
    const check = this.runCheck(upstream).finally(() => this.checks.delete(upstream.id));
    this.checks.set(upstream.id, check);
    return check;
  }

  private async runCheck(upstream: Upstream): Promise<boolean> {
    const hasCrashed = await isRefusing(upstream);
    if (hasCrashed) this.recordRefused(upstream);
    return hasCrashed;
  }

  /** Records that an upstream has refused a connection. */
  recordRefused(upstream: Upstream): void {
    this.refusedAtMs.set(upstream, this.clock.monotonicMs());
    this.onCrash(upstream);
  }

  /** Whether an upstream has refused a connection and has sent nothing since. */
  hasCrashed(upstream: Upstream): boolean {
    const refusedAtMs = this.refusedAtMs.get(upstream);
    return refusedAtMs !== undefined && refusedAtMs >= upstream.lastProgressMs;
  }
}
