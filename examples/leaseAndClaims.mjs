/**
 * Two holders compete for a lease in a MemoryObjectStore and send orders to an upstream that ignores
 * fencing numbers. The first holder stops renewing and resumes later; its order is not sent.
 *
 * Usage: npm run build && node examples/leaseAndClaims.mjs
 */
import { Lease, MemoryObjectStore, OrderSender } from '@cactusstair/coordination';
import { waitFor } from '@cactusstair/utils';

// Short times for a demonstration. The defaults are 15 s, 30 s and 2 s.
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

// riga-a-1 is paused here: it renews no longer. riga-b-1 waits for the duration and the order timeout.
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
