import type { Clock } from '@cactusstair/utils';
import { createDictionary, hashFraction, hashText } from '@cactusstair/utils';

import type { SourceChange, SourceItem } from '../follow/changeSource.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { UpstreamRecord } from '../upstreams/upstreamRecord.js';
import type { RolloutOrder } from './rolloutOrder.js';
import { findLostProgress, OrderRestore } from './orderRestore.js';
import { computeStepShares, FIRST_STEP, LAST_STEP } from './rolloutOrder.js';
import type { RolloutProgress } from './rolloutOrder.js';
import type { EvidenceSums, VersionOutcome } from './versionEvidence.js';
import { addLoadedPace, addOutcome, addPace, createEvidence } from './versionEvidence.js';

/** Options of `RolloutRouter`. */
export interface RolloutRouterOptions {
  clock: Clock;
  /** Time for which a session keeps its version after its last request. */
  sessionTtlMs: number;
  /** Largest share of the requests of a service that an unproven version may get. */
  canaryShare: number;
}

/** A rollout order with the local state that this instance keeps for it. */
export interface TrackedOrder {
  order: RolloutOrder;
  /** Name of the stored object. */
  name: string;
  revision: number;
  /**
   * When the rollout to this version started, or when this instance first saw its order if it had
   * not started by then, on the monotonic clock.
   */
  seenAtMs: number;
  /** When this instance first saw the current step, on the monotonic clock. */
  stepSeenAtMs: number;
  /**
   * The step at which the evidence showed that the target version is bad; it gets no requests then.
   * Undefined while nothing speaks against it.
   */
  blockedAtStep: number | undefined;
  /**
   * Whether the order was read in an earlier era of the store and the present one has not confirmed
   * it. Its revision means nothing then.
   */
  isUnconfirmed: boolean;
  /** Progress in force that a restore of the store has lost; undefined when it is stored. */
  lostProgress: RolloutProgress | undefined;
}

interface SessionPin {
  version: string;
  usedAtMs: number;
}

// An order and the upstreams of its version may become visible in either sequence. A version that
// is seen for the first time gets no requests for this long, until the orders have been read again.
const NEW_VERSION_DELAY_MS = 2500;
const MAX_PINS = 20_000;
/** Bounds the size of a message between instances. */
const MAX_EXPORTED_PINS = 100;
/**
 * Maximum number of pins accepted from one message; a reporter may have collected them from all
 * instances.
 */
const MAX_IMPORTED_PINS = 500;

/** Returns a key for a session of an order, short enough to be sent to all instances. */
function formatPinKey(order: RolloutOrder, session: string): string {
  return hashText(`${order.service} ${order.targetVersion} ${session}`).toString(36);
}

/**
 * Maps a pin key to a position in [0, 1). Sessions below the share of a step use the new version.
 */
function computePosition(pinKey: string): number {
  return hashFraction(pinKey);
}

/** Decides which versions of a service may run a request during a rollout. */
export class RolloutRouter {
  private readonly orders = new Map<string, TrackedOrder>();

  private readonly pins = new Map<string, SessionPin>();

  /**
   * Pin keys of sessions that peers keep on the old version, with the time of the last message that
   * listed them.
   */
  private readonly peerPins = new Map<string, number>();

  private readonly versionSeenAtMs = new Map<string, number>();

  private readonly evidence = new Map<string, EvidenceSums>();

  private readonly stepShares: readonly number[];

  private readonly restore: OrderRestore;

  /** Whether the next list is the first one of a restored store. */
  private isRestoring = false;

  constructor(private readonly options: RolloutRouterOptions) {
    this.restore = new OrderRestore(options.clock);
    this.stepShares = computeStepShares(options.canaryShare);
  }

  /**
   * Ends comparisons with the revisions of the orders in force, because the store was restored from
   * an older copy. They stay in force.
   */
  startRestore(): void {
    this.isRestoring = true;
    for (const tracked of this.orders.values()) tracked.isUnconfirmed = true;
  }

  applySnapshot(items: readonly SourceItem<RolloutOrder>[]): void {
    if (this.isRestoring) this.restore.start();
    this.isRestoring = false;
    this.restore.dropAll();
    const services = new Set<string>();
    for (const item of items) {
      if (!item.value) continue;
      services.add(item.value.service);
      this.put(item);
    }
    for (const [service, tracked] of this.orders) {
      if (services.has(service)) continue;
      if (tracked.isUnconfirmed && this.restore.isSettling) this.restore.defer(service, undefined);
      else this.remove(service, tracked);
    }
  }

  applyChange(change: SourceChange<RolloutOrder>): void {
    if (!change.isDeleted) {
      this.put(change);
      return;
    }
    for (const item of this.restore.listDeferred()) {
      if (item.name === change.name && item.value) this.restore.drop(item.value.service);
    }
    for (const [service, tracked] of this.orders) {
      if (tracked.name === change.name) this.remove(service, tracked);
    }
  }

  /** Returns the orders in force. */
  listOrders(): TrackedOrder[] {
    for (const [service, item] of this.restore.takeSettled()) {
      const tracked = this.orders.get(service);
      if (item) this.put(item);
      else if (tracked?.isUnconfirmed) this.remove(service, tracked);
    }
    return [...this.orders.values()];
  }

  /**
   * Identifies the orders as the store has them, so that instances can check whether they have read
   * the same ones.
   */
  formatState(): string {
    const confirmed = this.listOrders().filter(({ isUnconfirmed }) => !isUnconfirmed);
    return [...confirmed, ...this.restore.listDeferred()]
      .map(({ name, revision }) => `${name}@${revision}`)
      .sort()
      .join();
  }

  /** Returns the upstreams that a request of `session` may run on. */
  filterUpstreams(
    service: string,
    session: string | undefined,
    usable: readonly Upstream[],
  ): readonly Upstream[] {
    const tracked = this.orders.get(service);
    if (!tracked) {
      // Pin the session before any order exists, so that sessions in use keep their version when
      // one arrives.
      this.pin(service, session, '');
      return this.filterNewVersions(service, usable);
    }
    const { order } = tracked;
    const isTarget = (upstream: Upstream) => upstream.record.version === order.targetVersion;
    if (order.state === 'completed') {
      const target = usable.filter(isTarget);
      return target.length > 0 ? target : usable;
    }
    const shouldUseTarget =
      order.state === 'running' &&
      tracked.blockedAtStep === undefined &&
      this.isAssignedToTarget(tracked, session);
    const wanted = usable.filter((upstream) => isTarget(upstream) === shouldUseTarget);
    if (wanted.length > 0 || shouldUseTarget === false) {
      this.pin(service, session, shouldUseTarget ? order.targetVersion : '');
      return wanted;
    }
    return usable.filter((upstream) => !isTarget(upstream));
  }

  recordOutcome(service: string, version: string, outcome: VersionOutcome): void {
    addOutcome(this.getEvidence(service, version), outcome);
  }

  /** Records how fast an upstream works: the time for an event of a stream, or for an answer. */
  recordPace(service: string, version: string, paceMs: number): void {
    addPace(this.getEvidence(service, version), paceMs);
  }

  /** Records the pace of a long stream, with the load of its upstream at that time. */
  recordLoadedPace(
    { service, version }: UpstreamRecord,
    model: string,
    running: number,
    paceMs: number,
  ): void {
    addLoadedPace(this.getEvidence(service, version), model, running, paceMs);
  }

  /** Returns this instance's evidence by `formatVersionKey`, for services with an order. */
  exportEvidence(): Record<string, EvidenceSums> {
    const exported = createDictionary<EvidenceSums>();
    for (const [key, sums] of this.evidence) {
      const service = key.slice(0, key.indexOf(' '));
      if (this.orders.has(service)) exported[key] = sums;
    }
    return exported;
  }

  private getEvidence(service: string, version: string): EvidenceSums {
    const key = formatVersionKey(service, version);
    const sums = this.evidence.get(key) ?? createEvidence();
    this.evidence.set(key, sums);
    return sums;
  }

  private put(item: SourceItem<RolloutOrder>): void {
    const order = item.value;
    if (!order) return;
    const known = this.orders.get(order.service);
    if (known && !known.isUnconfirmed && known.revision >= item.revision) return;
    if (this.restore.isOlder(known?.order, order)) {
      this.restore.defer(order.service, item);
      return;
    }
    this.restore.recordInForce(order);
    const nowMs = this.options.clock.monotonicMs();
    const isSame = known?.order.targetVersion === order.targetVersion;
    if (known && !isSame) this.restore.recordReplaced(known.order);
    const lostProgress =
      isSame && this.restore.isSettling ? findLostProgress(known.order, order) : undefined;
    // A rollout that started before this instance did has been running since then.
    const elapsedMs =
      order.startedAtWallMs === undefined
        ? 0
        : Math.max(0, this.options.clock.wallMs() - order.startedAtWallMs);
    const step = lostProgress?.step ?? order.step;
    this.orders.set(order.service, {
      order: { ...order, ...lostProgress },
      name: item.name,
      revision: item.revision,
      seenAtMs: isSame ? known.seenAtMs : nowMs - elapsedMs,
      stepSeenAtMs: isSame && known.order.step === step ? known.stepSeenAtMs : nowMs,
      blockedAtStep: isSame ? known.blockedAtStep : undefined,
      isUnconfirmed: false,
      lostProgress,
    });
  }

  private remove(service: string, { order }: TrackedOrder): void {
    this.orders.delete(service);
    this.restore.recordReplaced(order);
    this.restore.drop(service);
  }

  private isAssignedToTarget(tracked: TrackedOrder, session: string | undefined): boolean {
    const { order } = tracked;
    const share = this.stepShares[Math.min(order.step, LAST_STEP)] ?? 0;
    if (share >= 1) return true;
    if (session === undefined) return Math.random() < share;
    const pin = this.pins.get(`${order.service} ${session}`);
    const nowMs = this.options.clock.monotonicMs();
    const { sessionTtlMs } = this.options;
    if (pin && nowMs - pin.usedAtMs < sessionTtlMs) return pin.version === order.targetVersion;
    const key = formatPinKey(order, session);
    if (computePosition(key) >= share) return false;
    if (order.step > FIRST_STEP) return true;
    // A session that is new to this instance may have been in use on another one when the order
    // arrived.
    const heardAtMs = this.peerPins.get(key) ?? -Infinity;
    return nowMs - tracked.seenAtMs >= sessionTtlMs && nowMs - heardAtMs >= sessionTtlMs;
  }

  /**
   * Returns the pin keys of sessions that stay on the old version although the current share
   * includes them.
   */
  exportPins(): string[] {
    const nowMs = this.options.clock.monotonicMs();
    const keys: string[] = [];
    for (const { order } of this.orders.values()) {
      if (order.state !== 'running' || order.step !== FIRST_STEP) continue;
      const prefix = `${order.service} `;
      for (const [name, pin] of this.pins) {
        if (!name.startsWith(prefix) || pin.version !== '') continue;
        if (nowMs - pin.usedAtMs >= this.options.sessionTtlMs) continue;
        const key = formatPinKey(order, name.slice(prefix.length));
        if (computePosition(key) < this.stepShares[FIRST_STEP]!) keys.push(key);
        if (keys.length >= MAX_EXPORTED_PINS) return keys;
      }
    }
    return keys;
  }

  /** Records the sessions that a peer keeps on the old version. */
  importPins(keys: readonly string[]): void {
    if (keys.length === 0 || this.orders.size === 0) return;
    const nowMs = this.options.clock.monotonicMs();
    for (const key of keys.slice(0, MAX_IMPORTED_PINS)) this.peerPins.set(key, nowMs);
    for (const [key, heardAtMs] of this.peerPins) {
      if (nowMs - heardAtMs >= this.options.sessionTtlMs) this.peerPins.delete(key);
    }
  }

  private pin(service: string, session: string | undefined, version: string): void {
    if (session === undefined) return;
    const key = `${service} ${session}`;
    this.pins.delete(key);
    this.pins.set(key, { version, usedAtMs: this.options.clock.monotonicMs() });
    if (this.pins.size <= MAX_PINS) return;
    const oldest = this.pins.keys().next();
    if (!oldest.done) this.pins.delete(oldest.value);
  }

  /**
   * Without an order all versions may serve, but a version seen only just now may belong to an
   * order that has not been read yet.
   */
  private filterNewVersions(service: string, usable: readonly Upstream[]): readonly Upstream[] {
    const nowMs = this.options.clock.monotonicMs();
    const versions = new Set(usable.map((upstream) => upstream.record.version));
    if (versions.size <= 1) {
      for (const version of versions) {
        const key = formatVersionKey(service, version);
        if (!this.versionSeenAtMs.has(key)) this.versionSeenAtMs.set(key, -Infinity);
      }
      return usable;
    }
    const settled = usable.filter((upstream) => {
      const key = formatVersionKey(service, upstream.record.version);
      const seenAtMs = this.versionSeenAtMs.get(key);
      if (seenAtMs === undefined) this.versionSeenAtMs.set(key, nowMs);
      return seenAtMs !== undefined && nowMs - seenAtMs >= NEW_VERSION_DELAY_MS;
    });
    return settled.length > 0 ? settled : usable;
  }
}

/** Formats the key under which the evidence of a version is kept. */
export function formatVersionKey(service: string, version: string): string {
  return `${service} ${version}`;
}
