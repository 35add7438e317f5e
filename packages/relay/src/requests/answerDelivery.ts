import type { AnswerBody } from '../upstreams/answerBody.js';
import type { AnswerDeliveries } from './answerDeliveries.js';
import type { Exchange } from './exchange.js';
import type { RelayContext } from './relayContext.js';

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
/** Sends a large answer no faster than its caller reads it. */
export class AnswerDelivery {
  private progressAtMs: number;

  constructor(
    private readonly deliveries: AnswerDeliveries,
    private readonly exchange: Exchange,
    /** Id of the upstream that answered. */
    readonly owner: string,
    private readonly body: AnswerBody,
  ) {
    this.progressAtMs = deliveries.onTimeMs;
  }

  /** Time for which the caller has taken nothing, in milliseconds. */
  get stalledMs(): number {
    return this.deliveries.onTimeMs - this.progressAtMs;
  }

  async run(): Promise<void> {
    const { deliveries, exchange, body } = this;
    const { outgoing } = exchange;
    deliveries.add(this);
    try {
      for (let slice = body.take(SLICE_BYTES); slice; slice = body.take(SLICE_BYTES)) {
        if (!outgoing.write(slice)) await exchange.waitForDrain();
        if (outgoing.destroyed) return;
        this.progressAtMs = deliveries.onTimeMs;
      }
      outgoing.end();
    } finally {
      deliveries.remove(this);
    }
  }

  /** Gives the answer up and its memory back. */
  abandon(reason: string): void {
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
    await new AnswerDelivery(context.deliveries, exchange, owner, body).run();
    return;
  }
  const parts = body.takeAll();
  for (const part of parts.slice(0, -1)) outgoing.write(part);
  outgoing.end(parts.at(-1));
}
