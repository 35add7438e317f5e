import type { Upstream as UpstreamConfig } from '@cactusstair/protocol';
import { UpstreamKind } from '@cactusstair/protocol';
import type {
  CrashAttribution,
  CrashQuarantine,
  LeavingSignal,
  PrefixIndex,
  RequestClass,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamNotice,
  UpstreamView,
} from '@cactusstair/routing';
import { ConcurrencyLimit } from '@cactusstair/routing';
import type { Clock, Logger } from '@cactusstair/utils';

import { Link } from './link.js';
import type { UpstreamCallError } from './upstreamCallError.js';
import type { LoadReport, ReportCall } from './loadReport.js';
import { fetchCacheEvents, fetchLoadReport } from './loadReport.js';

/** Objects that all upstreams share. */
export interface UpstreamContext {
  clock: Clock;
  logger: Logger;
  quarantine: CrashQuarantine;
  crashes: CrashAttribution;
  prefixIndex: PrefixIndex;
  limits: UpstreamLimits;
  connectMs: number;
}

/** Two failed probes in a row take an upstream out of service, which must happen within 3 s. */
const POLL_INTERVAL_MS = 1000;
const PROBE_TIMEOUT_MS = 500;
const DEFAULT_SLOTS = 16;

/** An upstream with its link, and its load and health as this instance observes them. */
export class Upstream {
  readonly link: Link;

  private readonly limit = new ConcurrencyLimit();

  private outstanding = 0;

  private exclusiveCalls = 0;

  private report: LoadReport | undefined;

  /** Whether the last probe failed. */
  private isDown = false;

  private reportedAtMs = 0;

  private sentSinceReport = 0;

  /** End of the pause that the upstream has asked for, on the monotonic clock. */
  private pausedUntilMs = -Infinity;

  constructor(
    readonly config: UpstreamConfig,
    readonly health: UpstreamHealth,
    private readonly context: UpstreamContext,
  ) {
    this.link = new Link(config.url, { connectTimeoutMs: context.connectMs });
  }

  get name(): string {
    return this.config.name;
  }

  /** Whether the last load report lists `version` of `model` as loaded. */
  hasVersion(model: string, version: string): boolean {
    const loaded = this.report?.versions ?? [];
    return loaded.some((each) => each.model === model && each.version === version);
  }

  /** Whether a crash suspect, a request that may crash its upstream, is running here. */
  isExclusive(): boolean {
    return this.exclusiveCalls > 0;
  }

  /** Returns how many requests this instance may have in flight here. */
  getCapacity(): number {
    const slots = this.getSlots();
    return Math.max(1, Math.min(slots, this.limit.getLimit()));
  }

  getView(): UpstreamView {
    const { clock } = this.context;
    return {
      name: this.name,
      zone: this.config.zone,
      slots: this.getSlots(),
      outstanding: this.outstanding,
      reported: this.report && {
        active: this.report.active,
        queued: this.report.queued,
        ageMs: clock.monotonicMs() - this.reportedAtMs,
      },
      sentSinceReport: this.sentSinceReport,
      availability: this.health.getAvailability(),
      readyForMs: this.health.getReadyForMs(),
    };
  }

  /** Counts a call as outstanding until the returned function is called. */
  startCall(exclusive: boolean): () => void {
    this.context.limits.tryTake(this.name);
    this.outstanding += 1;
    this.sentSinceReport += 1;
    if (exclusive) this.exclusiveCalls += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.outstanding -= 1;
      if (exclusive) this.exclusiveCalls -= 1;
    };
  }

  /** @param latencyMs time to the first token, or to the answer of a plain service. */
  recordSuccess(latencyMs: number, requestClass: RequestClass = 'short'): void {
    this.health.recordSuccess();
    this.limit.recordSample({
      requestClass,
      latencyMs,
      inFlight: this.outstanding,
      failed: false,
      upstreamQueued: this.report?.queued ?? 0,
    });
  }

  /**
   * Determines the cause of a failed call with a probe over a new connection. A crashed upstream
   * does not answer it or reports a new incarnation; otherwise only the old connections failed.
   *
   * @returns whether the upstream crashed.
   */
  async recordFailure(failure: UpstreamCallError): Promise<boolean> {
    if (failure.kind === 'aborted') return false;
    if (failure.kind === 'timeout') {
      this.limit.recordSample({ latencyMs: 0, inFlight: this.outstanding, failed: true });
    }
    const wasDown = this.isDown;
    const before = this.report?.incarnation;
    const probed = failure.kind === 'status' ? this.report : await this.probe(true);
    const restarted = probed !== undefined && probed.incarnation !== before;
    const crashed = failure.kind === 'crash' && (probed === undefined || restarted);
    // While the upstream is down, a proxy in front of it can accept and reset connections. No
    // request is running there then, so none can have caused a crash.
    if (crashed && !wasDown) {
      const { active = 0, queued = 0 } = this.report ?? {};
      this.context.quarantine.recordCrash(this.name, active + queued);
      this.context.crashes.recordCrash(this.name);
    }
    this.isDown = probed === undefined;
    if (failure.kind === 'timeout' && probed) this.link.replace();
    this.health.recordFailure(failure.kind === 'mismatch' ? 'status' : failure.kind);
    return crashed;
  }

  /** Records what the head of an answer says about the upstream. */
  recordNotice({ isLeaving, requestsPerSecond, pauseMs }: UpstreamNotice): void {
    const { clock, limits, logger } = this.context;
    // A load report that was taken before the answer does not revoke what the answer says.
    if (isLeaving) this.markLeaving('answer');
    if (limits.record(this.name, requestsPerSecond)) {
      logger.info('upstream limit changed', { upstream: this.name, requestsPerSecond });
    }
    if (pauseMs === undefined) return;
    if (this.getPauseLeftMs() <= 0) {
      logger.info('upstream asks for a pause', { upstream: this.name, pauseMs });
    }
    this.pausedUntilMs = Math.max(this.pausedUntilMs, clock.monotonicMs() + pauseMs);
  }

  /** Returns the time until the upstream accepts a request of this instance, in milliseconds. */
  getWaitMs(): number {
    return Math.max(this.getPauseLeftMs(), this.context.limits.getWaitMs(this.name));
  }

  /** Names the upstreams that can run the same requests. */
  describePool(): string {
    if (this.config.kind === UpstreamKind.SERVICE) return `service/${this.config.service}`;
    const versions = this.report?.versions.map(({ model, version }) => `${model}@${version}`) ?? [];
    return `engines/${versions.sort().join()}`;
  }

  markLeaving(signal: LeavingSignal = 'upstream'): void {
    if (!this.health.isMarkedLeaving()) {
      this.context.logger.info('upstream is leaving', { upstream: this.name, signal });
    }
    this.health.markLeaving(signal);
  }

  /** Polls the load report until `signal` aborts. */
  async pollLoad(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const report = (await this.probe(false)) ?? (await this.probe(true));
      if (signal.aborted) return;
      this.recordProbe(report);
      if (report && this.config.kind === UpstreamKind.ENGINE) await this.pollCacheEvents(report);
      await this.context.clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  private async probe(newConnection: boolean): Promise<LoadReport | undefined> {
    try {
      return await fetchLoadReport(this.createReportCall(newConnection));
    } catch {
      return undefined;
    }
  }

  private createReportCall(newConnection: boolean): ReportCall {
    return { baseUrl: this.config.url, timeoutMs: PROBE_TIMEOUT_MS, newConnection };
  }

  private recordProbe(report: LoadReport | undefined): void {
    const before = this.health.getAvailability();
    this.isDown = report === undefined;
    this.health.recordProbe(report !== undefined);
    if (report) {
      if (report.incarnation !== this.report?.incarnation) {
        this.forgetRun(this.report === undefined);
      }
      this.report = report;
      this.reportedAtMs = this.context.clock.monotonicMs();
      this.sentSinceReport = 0;
      if (report.leaving) this.markLeaving();
      else this.health.clearLeaving('upstream');
    }
    const after = this.health.getAvailability();
    if (after !== before) {
      this.context.logger.info('upstream availability changed', {
        upstream: this.name,
        before,
        after,
      });
    }
  }

  private async pollCacheEvents(report: LoadReport): Promise<void> {
    const { prefixIndex } = this.context;
    const lastSequence = prefixIndex.getLastSequence(this.name);
    if ((report.cacheEvents ?? 0) <= lastSequence) return;
    try {
      const events = await fetchCacheEvents(this.createReportCall(false), lastSequence);
      prefixIndex.applyEvents(
        this.name,
        events.map(({ sequence, type, block }) => ({
          sequence,
          type: type === 'added' ? 'stored' : type,
          prefixHash: block,
        })),
      );
    } catch {
      // Cache events only improve the choice of an upstream. The next poll reads them again.
    }
  }

  private getPauseLeftMs(): number {
    return Math.max(0, this.pausedUntilMs - this.context.clock.monotonicMs());
  }

  /** Forgets what belongs to an earlier run; `isFirst` if this run is the first that is known. */
  private forgetRun(isFirst: boolean): void {
    this.context.prefixIndex.removeUpstream(this.name);
    if (isFirst) return;
    this.health.clearLeaving('answer');
    this.context.limits.forget(this.name);
    this.pausedUntilMs = -Infinity;
  }

  private getSlots(): number {
    return this.config.slots || this.report?.slots || DEFAULT_SLOTS;
  }
}
