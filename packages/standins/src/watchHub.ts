import type { ServerResponse } from 'node:http';

import type { Random } from '@cactusstair/utils';

import type { ObjectTable, StoreEvent } from './objectTable.js';
import { getEventKind } from './objectTable.js';

/** Parameters of the fault `watch`. */
export interface WatchFault {
  /** Delay of each event in milliseconds. */
  delayMs?: number | undefined;
  /** Probability that an event is sent twice. */
  repeat?: number | undefined;
  /** Probability that an event is held back until after the next one. */
  reorder?: number | undefined;
}

interface Watcher {
  response: ServerResponse;
  kinds: Set<string>;
  /** Lines in sending order with the time at which they are due. */
  pending: { line: string; dueAtMs: number }[];
  heldBack: string | undefined;
  timer: NodeJS.Timeout | undefined;
}

const BOOKMARK_INTERVAL_MS = 1000;

/** Sends store events to the open watches, each as newline-delimited JSON. */
export class WatchHub {
  private readonly watchers = new Set<Watcher>();

  private readonly bookmarkTimer: NodeJS.Timeout;

  constructor(
    private readonly table: ObjectTable,
    private readonly random: Random,
    private readonly getFault: () => WatchFault | undefined,
  ) {
    this.bookmarkTimer = setInterval(() => {
      for (const watcher of this.watchers) this.sendBookmark(watcher);
    }, BOOKMARK_INTERVAL_MS);
  }

  get size(): number {
    return this.watchers.size;
  }

  /** Sends the events after `from`, a bookmark, and then every new event. */
  add(response: ServerResponse, kinds: string[], from: number): void {
    const watcher: Watcher = {
      response,
      kinds: new Set(kinds),
      pending: [],
      heldBack: undefined,
      timer: undefined,
    };
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    for (const event of this.table.getEventsAfter(from)) this.sendEvent(watcher, event);
    this.sendBookmark(watcher);
    this.watchers.add(watcher);
    response.on('close', () => {
      this.watchers.delete(watcher);
      clearTimeout(watcher.timer);
    });
  }

  publish(event: StoreEvent): void {
    for (const watcher of this.watchers) this.sendEvent(watcher, event);
  }

  /** Ends all watches. */
  endAll(): void {
    for (const watcher of this.watchers) watcher.response.end();
  }

  close(): void {
    clearInterval(this.bookmarkTimer);
    this.endAll();
  }

  private sendEvent(watcher: Watcher, event: StoreEvent): void {
    if (watcher.kinds.size > 0 && !watcher.kinds.has(getEventKind(event))) return;
    const fault = this.getFault();
    const line = `${JSON.stringify(event)}\n`;
    if (!watcher.heldBack && this.random.next() < (fault?.reorder ?? 0)) {
      watcher.heldBack = line;
      return;
    }
    this.enqueue(watcher, line, fault);
    if (this.random.next() < (fault?.repeat ?? 0)) this.enqueue(watcher, line, fault);
    this.releaseHeldBack(watcher, fault);
  }

  private sendBookmark(watcher: Watcher): void {
    // A bookmark means that all events up to its revision were sent, so held-back ones go first.
    const fault = this.getFault();
    this.releaseHeldBack(watcher, fault);
    const line = `${JSON.stringify({ type: 'bookmark', revision: this.table.revision })}\n`;
    this.enqueue(watcher, line, fault);
  }

  private releaseHeldBack(watcher: Watcher, fault: WatchFault | undefined): void {
    if (!watcher.heldBack) return;
    this.enqueue(watcher, watcher.heldBack, fault);
    watcher.heldBack = undefined;
  }

  private enqueue(watcher: Watcher, line: string, fault: WatchFault | undefined): void {
    const delayMs = fault?.delayMs ?? 0;
    if (delayMs === 0 && watcher.pending.length === 0) {
      watcher.response.write(line);
      return;
    }
    watcher.pending.push({ line, dueAtMs: performance.now() + delayMs });
    this.schedule(watcher);
  }

  private schedule(watcher: Watcher): void {
    const next = watcher.pending[0];
    if (!next || watcher.timer) return;
    watcher.timer = setTimeout(
      () => {
        watcher.timer = undefined;
        while (watcher.pending[0] && watcher.pending[0].dueAtMs <= performance.now()) {
          watcher.response.write(watcher.pending.shift()?.line ?? '');
        }
        this.schedule(watcher);
      },
      Math.max(0, next.dueAtMs - performance.now()),
    );
  }
}
