import type { PeerExchange } from '../peers/peerExchange.js';
import type { UpstreamDirectory } from '../upstreams/upstreamDirectory.js';

/** Counts the requests of all instances at upstreams of a service with another version. */
export function countOldVersionCalls(
  directory: UpstreamDirectory,
  peers: PeerExchange,
  { service, targetVersion }: { service: string; targetVersion: string },
): number {
  const old = directory
    .listAll()
    .filter(({ record }) => record.service === service && record.version !== targetVersion);
  const own = old.reduce((sum, upstream) => sum + upstream.calls.size, 0);
  return own + peers.countPeerCalls(old.map(({ id }) => id));
}
