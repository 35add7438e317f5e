import type {
  OrderAnswer,
  OrderState,
  OrderTransport,
  SendContext,
} from '@cactusstair/coordination';
import { request } from 'undici';
import { z } from 'zod';

import { classifyCallError } from './upstreamCallError.js';

/** An order to an engine to load or unload a version. */
export interface EngineOrder {
  order: 'load' | 'unload';
  model: string;
  version: string;
}

const versionSchema = z.looseObject({ model: z.string(), version: z.string() });

const stateSchema = z.looseObject({
  versions: z.array(versionSchema),
  loading: z.array(versionSchema).default([]),
});

type EngineState = z.output<typeof stateSchema>;

const answerByStatus: Record<number, OrderAnswer> = {
  200: 'accepted',
  202: 'accepted',
  409: 'superseded',
};

/** Sends orders to engines, which are addressed by their base URL. */
export class EngineOrderTransport implements OrderTransport<EngineOrder> {
  async send(url: string, order: EngineOrder, context: SendContext): Promise<OrderAnswer> {
    if (!context.canSend()) return 'not_sent';
    try {
      const answer = await request(`${url}/orders`, {
        method: 'POST',
        // Uses a new connection: an order would hang on a kept one that no longer delivers data.
        reset: true,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...order, fencing: context.fencing }),
        signal: context.signal,
      });
      await answer.body.dump();
      return answerByStatus[answer.statusCode] ?? 'refused';
    } catch (error) {
      return classifyCallError(error).dispatched ? 'unknown' : 'not_sent';
    }
  }

  async readState(url: string, order: EngineOrder, signal: AbortSignal): Promise<OrderState> {
    const answer = await request(`${url}/state`, { reset: true, signal });
    const state = stateSchema.parse(await answer.body.json());
    return compareState(state, order);
  }
}

function compareState(state: EngineState, { order, model, version }: EngineOrder): OrderState {
  const includes = (list: EngineState['versions']) =>
    list.some((each) => each.model === model && each.version === version);
  const loaded = includes(state.versions);
  if (order === 'unload') return loaded ? 'not_in_force' : 'in_force';
  if (loaded) return 'in_force';
  return includes(state.loading) ? 'pending' : 'not_in_force';
}
