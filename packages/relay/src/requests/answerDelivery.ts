import type { AnswerBody } from '../upstreams/answerBody.js';
import type { Exchange } from './exchange.js';
import type { RelayContext } from './relayContext.js';
import type { MonitoredCall } from './stallMonitor.js';

/** A whole answer of an upstream, to be sent unchanged. */
export interface BufferedAnswer {
  status: number;
  /** Alternating names and values. */
  headers: string[];
  /** Id of the upstream that answered. */
  owner: string;
  body: AnswerBody;
}

/** Bytes of a large answer that are handed to the connection at a time. */
const SLICE_BYTES = 16 * 1024;
/** A caller that takes no slice for this long loses its answer if others wait for the memory. */
const CALLER_STALL_TIMEOUT_MS = 500;

/**
 * Sends a large answer no faster than its caller reads it. A caller that reads nothing keeps the
 * answer only as long as no other answer has to wait for its memory.
 */
export class AnswerDelivery implements MonitoredCall {
  private progressAtMs: number;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: Exchange,
    /** Id of the upstream that answered. */
    private readonly owner: string,
    private readonly body: AnswerBody,
  ) {
    this.progressAtMs = context.clock.monotonicMs();
  }

  async run(): Promise<void> {
    const { context, exchange, body } = this;
    const { outgoing } = exchange;
    context.stallMonitor.add(this);
    try {
      for (let slice = body.take(SLICE_BYTES); slice; slice = body.take(SLICE_BYTES)) {
        if (!outgoing.write(slice)) await exchange.waitForDrain();
        if (outgoing.destroyed) return;
        this.progressAtMs = context.clock.monotonicMs();
      }
      outgoing.end();
    } finally {
      context.stallMonitor.remove(this);
    }
  }

  describeStall(nowMs: number): string | undefined {
    const stalledMs = nowMs - this.progressAtMs;
    if (stalledMs < CALLER_STALL_TIMEOUT_MS) return undefined;
    if (!this.context.answerMemory.isAwaitedFrom(this.owner)) return undefined;
    return `the caller read nothing for ${Math.round(stalledMs)} ms`;
  }

  onStall(reason: string): void {
    this.body.release();
    this.exchange.abandonAnswer(reason);
  }
}

/** Sends a whole answer to the caller, unless the request has ended; resolves when it is sent. */
export async function sendAnswer(
  context: RelayContext,
  exchange: Exchange,
  { status, headers, owner, body }: BufferedAnswer,
): Promise<void> {
  if (!exchange.startAnswer(status, headers, body.length)) return;
  const { outgoing } = exchange;
  if (exchange.request?.method === 'HEAD') {
    body.release();
    outgoing.end();
    return;
  }
  if (body.isLarge) {
    await new AnswerDelivery(context, exchange, owner, body).run();
    return;
  }
  const parts = body.takeAll();
  for (const part of parts.slice(0, -1)) outgoing.write(part);
  outgoing.end(parts.at(-1));
}
