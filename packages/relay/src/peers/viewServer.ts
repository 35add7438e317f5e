import { createServer } from 'node:http';
import type { Server } from 'node:http';

import type { ConnectionGuardOptions } from '@cactusstair/utils';
import { guardConnections, ignoreBody } from '@cactusstair/utils';

import type { SourceFollower } from '../follow/sourceFollower.js';
import type { SocketAddress } from '../relayOptions.js';
import type { ViewName } from './peerMessage.js';

type Exporter = Pick<SourceFollower<unknown>, 'exportSince'>;

/**
 * Path prefix of the views. The query parameters name the revision that the client already has, and
 * its era if the store names one.
 */
export const VIEW_PATH = '/views/';
/**
 * Maximum size of an answer. All instances of a zone ask for a change at once, and a long
 * configuration would saturate the link of a small machine for seconds; the store has a faster
 * link.
 */
const MAX_VIEW_BYTES = 48 * 1024;

const STATUS_BY_RESULT = { found: 200, unknown: 404, gone: 410, too_long: 413 } as const;

type ViewAnswer =
  { result: 'found'; text: string } | { result: Exclude<keyof typeof STATUS_BY_RESULT, 'found'> };

/** Serves the changes of the followed states to the instances of the zone. */
export class ViewServer {
  private readonly server: Server;

  constructor(
    private readonly views: Readonly<Partial<Record<ViewName, Exporter>>>,
    options: ConnectionGuardOptions = {},
  ) {
    this.server = createServer((incoming, outgoing) => {
      ignoreBody(incoming, outgoing);
      const answer = this.answer(incoming.url ?? '');
      outgoing.writeHead(STATUS_BY_RESULT[answer.result], { 'content-type': 'application/json' });
      outgoing.end(answer.result === 'found' ? answer.text : undefined);
    });
    guardConnections(this.server, options);
  }

  listen(address: SocketAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: address.host, port: address.port, backlog: 256 }, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private answer(path: string): ViewAnswer {
    const match = /^\/views\/([a-z]+)\?since=(\d{1,15})(?:&era=(\d{1,15}))?$/.exec(path);
    const name = match?.[1];
    if (name === undefined || !Object.hasOwn(this.views, name)) return { result: 'unknown' };
    const era = match?.[3] === undefined ? undefined : Number(match[3]);
    const exported = this.views[name as ViewName]?.exportSince(Number(match?.[2]), era);
    if (!exported || !Number.isFinite(exported.ageMs)) return { result: 'gone' };
    const text = JSON.stringify(exported);
    return text.length > MAX_VIEW_BYTES ? { result: 'too_long' } : { result: 'found', text };
  }
}
