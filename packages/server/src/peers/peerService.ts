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

/** What the peer calls reach. */
export interface PeerServiceOptions {
  membership: MembershipTask;
  replica: ConfigReplica;
  claims: ClaimJournal;
  billing: BillingJournal;
  counters: VersionStatsRecorder;
  cascades: CascadePolicy;
  clock: Clock;
}

const MAX_WAIT_MS = 30_000;

/** Adapts an async function to a gRPC handler; an error becomes INTERNAL without its stack. */
function handle<Request, Reply>(
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

/** Creates the handlers of the calls between instances. */
export function createPeerService(options: PeerServiceOptions): PeerServer {
  const { membership, replica, claims, billing, counters, cascades, clock } = options;
  return {
    exchange: handle((request) => membership.handleExchange(request)),
    fetchConfig: handle((request) => answerFetchConfig(replica, request, { clock })),
    copyBills: handle(({ bills }) => ({ held: billing.holdCopies(bills) })),
    releaseBills: handle(({ origin, incarnation, upToSequence }) => {
      billing.releaseCopies(origin, incarnation, upToSequence);
      return {};
    }),
    awaitClaim: handle(({ workspace, key, waitMs }) =>
      claims.awaitLocal(workspace, key, Math.min(waitMs, MAX_WAIT_MS)),
    ),
    getVersionStats: handle(() => counters.exportStats()),
    getCascadeEvidence: handle(() => cascades.exportEvidence()),
  };
}
