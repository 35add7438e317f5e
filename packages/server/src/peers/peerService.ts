import type {
  BillingJournal,
  ClaimJournal,
  ConfigReplica,
  MembershipTask,
} from '@cactusstair/coordination';
import { answerFetchConfig } from '@cactusstair/coordination';
import type { PeerServer } from '@cactusstair/protocol';
import type { CascadePolicy, VersionStatsRecorder } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';
import type { handleUnaryCall } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';

/** Options of `createPeerService`. */
export interface PeerServiceOptions {
  membership: MembershipTask;
  replica: ConfigReplica;
  claims: ClaimJournal;
  billing: BillingJournal;
  versionStats: VersionStatsRecorder;
  cascades: CascadePolicy;
  clock: Clock;
}

const MAX_CLAIM_WAIT_MS = 30_000;

/** Adapts an async function to a gRPC handler; an error becomes INTERNAL without its stack. */
function createHandler<Request, Reply>(
  run: (request: Request) => Promise<Reply> | Reply,
): handleUnaryCall<Request, Reply> {
  return (call, callback) => {
    Promise.resolve()
      .then(() => run(call.request))
      .then(
        (reply) => callback(null, reply),
        (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
      );
  };
}

/** Creates the handlers of the `Peer` service, for calls between instances. */
export function createPeerService(options: PeerServiceOptions): PeerServer {
  const { membership, replica, claims, billing, versionStats, cascades, clock } = options;
  return {
    exchange: createHandler((request) => membership.handleExchange(request)),
    fetchConfig: createHandler((request) => answerFetchConfig(replica, request, { clock })),
    copyBills: createHandler(({ bills }) => ({ held: billing.holdCopies(bills) })),
    releaseBills: createHandler(({ origin, incarnation, upToSequence }) => {
      billing.releaseCopies(origin, incarnation, upToSequence);
      return {};
    }),
    awaitClaim: createHandler(({ workspace, key, waitMs }) =>
      claims.awaitLocal(workspace, key, Math.min(waitMs, MAX_CLAIM_WAIT_MS)),
    ),
    getVersionStats: createHandler(() => versionStats.exportStats()),
    getCascadeEvidence: createHandler(() => cascades.exportEvidence()),
  };
}
