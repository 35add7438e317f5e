import type { Clock } from '@cactusstair/utils';

import { AnswerMemory } from '../upstreams/answerMemory.js';
import type { AnswerDelivery } from './answerDelivery.js';
import type { RelayContext } from './relayContext.js';
import type { MonitoredCall } from './stallMonitor.js';
import { StallMonitor } from './stallMonitor.js';

/** A caller that takes no slice for this long loses its answer if others wait for the memory. */
const CALLER_STALL_TIMEOUT_MS = 500;

/** Options of `AnswerDeliveries`. */
export interface AnswerDeliveriesOptions {
  memory: AnswerMemory;
  stallMonitor: Pick<StallMonitor, 'add' | 'remove' | 'onTimeMs'>;
}

/**
 * The large answers that are being sent. Callers that read nothing keep their answers only as long
 * as no other answer has to wait for the memory. Then one of them loses its answer at each check,
 * the one that has read nothing for longest first, so that no more are given up than memory is asked
 * for. Only the time in which this instance ran on time counts: a slow instance hands out nothing.
 */
export class AnswerDeliveries implements MonitoredCall {
  private readonly open = new Set<AnswerDelivery>();

  constructor(private readonly options: AnswerDeliveriesOptions) {}

  /** Time by which stalls are measured, in milliseconds. */
  get onTimeMs(): number {
    return this.options.stallMonitor.onTimeMs;
  }

  add(delivery: AnswerDelivery): void {
    this.open.add(delivery);
    this.options.stallMonitor.add(this);
  }

  remove(delivery: AnswerDelivery): void {
    this.open.delete(delivery);
    if (this.open.size === 0) this.options.stallMonitor.remove(this);
  }

  describeStall(): string | undefined {
    const stalled = this.findStalled();
    return stalled && `the caller read nothing for ${Math.round(stalled.stalledMs)} ms`;
  }

  onStall(reason: string): void {
    this.findStalled()?.abandon(reason);
  }

  /** Returns the delivery that has stalled for longest among those whose memory others wait for. */
  private findStalled(): AnswerDelivery | undefined {
    let found: AnswerDelivery | undefined;
    for (const delivery of this.open) {
      if (delivery.stalledMs < CALLER_STALL_TIMEOUT_MS) continue;
      if (found && delivery.stalledMs <= found.stalledMs) continue;
      if (this.options.memory.isAwaitedFrom(delivery.owner)) found = delivery;
    }
    return found;
  }
}

/** Creates what the requests of an instance share to buffer answers and to send them. */
export function createAnswerParts(
  clock: Clock,
): Pick<RelayContext, 'stallMonitor' | 'answerMemory' | 'deliveries'> {
  const stallMonitor = new StallMonitor(clock);
  const answerMemory = new AnswerMemory();
  const deliveries = new AnswerDeliveries({ memory: answerMemory, stallMonitor });
  return { stallMonitor, answerMemory, deliveries };
}
