/**
 * Shows leases and claims with a MemoryObjectStore.
 *
 * Two instances acquire the same lease in turn and send orders to an upstream that ignores fencing
 * numbers. The first one stops renewing; its lease expires, and a later order is not sent. Then two
 * instances claim one idempotency key: one runs the request, the other receives the stored answer.
 *
 * Usage: npm run build && node examples/leaseAndClaims.mjs
 */
import { ClaimJournal, Lease, MemoryObjectStore, OrderSender } from '@cactusstair/coordination';
import { createRandom, LifecycleManager, systemClock, waitFor } from '@cactusstair/utils';

// Short times for the example. The defaults are 15 s, 30 s and 2 s.
const DURATION_MS = 400;
const ORDER_TIMEOUT_MS = 200;
const MIN_REMAINING_MS = 50;

const store = new MemoryObjectStore();
const upstream = { version: 'v0' };

const transport = {
  async send(name, version, context) {
    if (!context.canSend()) return 'not_sent';
    upstream.version = version;
    return 'accepted';
  },
  async readState(name, version) {
    return upstream.version === version ? 'in_force' : 'not_in_force';
  },
};

function createLease(holder) {
  return new Lease({
    store,
    name: 'rollouts',
    holder,
    durationMs: DURATION_MS,
    orderTimeoutMs: ORDER_TIMEOUT_MS,
  });
}

function createSender(lease) {
  return new OrderSender({
    lease,
    transport,
    orderTimeoutMs: ORDER_TIMEOUT_MS,
    minRemainingMs: MIN_REMAINING_MS,
  });
}

function describe(result) {
  return result.match(
    (state) => state,
    (failure) => failure.type,
  );
}

async function acquire(lease, what) {
  return waitFor(async () => (await lease.acquire()).unwrapOr(undefined), {
    what,
    timeoutMs: 10_000,
  });
}

const first = await acquire(createLease('riga-a-1'), 'the first lease');
const firstSender = createSender(first);
console.log(`riga-a-1 holds the lease, fencing number ${first.fencing}`);
console.log(`riga-a-1 orders v1: ${describe(await firstSender.apply('engine-1', 'v1'))}`);

// riga-a-1 stops renewing. riga-b-1 waits for the lease duration and the order timeout.
const second = await acquire(createLease('riga-b-1'), 'the lease of the successor');
const secondSender = createSender(second);
console.log(`riga-b-1 holds the lease, higher fencing number: ${second.fencing > first.fencing}`);
console.log(`riga-b-1 orders v2: ${describe(await secondSender.apply('engine-1', 'v2'))}`);

console.log(
  `riga-a-1 resumes and orders v1: ${describe(await firstSender.apply('engine-1', 'v1'))}`,
);
console.log(`the upstream serves ${upstream.version}`);

await second.release();
const third = await createLease('riga-a-2').acquire();
console.log(`riga-a-2 takes the released lease at once: ${third.isOk()}`);

const lifecycle = new LifecycleManager();

function createJournal(owner) {
  return new ClaimJournal({
    store,
    clock: systemClock,
    random: createRandom(1),
    lifecycle,
    owner,
    getIncarnation: () => 1,
  });
}

const journals = [createJournal('riga-a-1'), createJournal('riga-b-1')];
const claims = await Promise.all(
  journals.map((journal) => journal.claim('ladders', 'order-17', 'digest of the request')),
);
const granted = claims.filter((claim) => claim.isOk() && claim.value.type === 'granted');
console.log(`claims granted for one key: ${granted.length}`);

const winner = claims.findIndex((claim) => claim.isOk() && claim.value.type === 'granted');
const answer = { status: 200, contentType: 'text/plain', body: Buffer.from('printed once') };
await journals[winner].complete(claims[winner].value.claim, answer);
const repeat = await journals[1 - winner].claim('ladders', 'order-17', 'digest of the request');
console.log(`a repeat gets: ${Buffer.from(repeat.value.answer.body).toString()}`);
await lifecycle.close();
