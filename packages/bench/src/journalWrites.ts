/**
 * Counts object API writes per claim and per bill at increasing request rates. Compares the
 * journals, which batch writes, with one object per request. Uses a simulated clock and a fixed
 * seed.
 *
 * Usage: npm run build && node packages/bench/dist/journalWrites.js
 */
import type {
  BillCopier,
  ObjectList,
  ObjectStore,
  StoredObject,
  StoreResult,
  UnnumberedBill,
} from '@cactusstair/coordination';
import { BillingJournal, ClaimJournal } from '@cactusstair/coordination';
import type { Random } from '@cactusstair/utils';
import { createRandom, LifecycleManager, ManualClock } from '@cactusstair/utils';
import { err, ok } from 'neverthrow';

const SEED = 20_261_204;
const INSTANCES = 7;
const DURATION_MS = 10_000;
const STORE_LATENCY_MS = 5;
/** Time after the last request in which pending writes complete. */
const DRAIN_MS = 5000;
const COPY_LATENCY_MS = 2;
const SERVICE_TIME_MS = 50;
/** Short, so that the journal shards reach a steady size within the run. */
const RETENTION_MS = 5000;
const RATES_PER_SECOND = [2, 10, 50, 200, 1000, 3000];

const answer = { status: 201, contentType: 'application/json', body: Buffer.from('{"ok":true}') };

/** In-memory store with a fixed latency; counts calls, conflicts and written bytes. */
class CountingStore implements ObjectStore {
  reads = 0;

  writes = 0;

  conflicts = 0;

  writtenBytes = 0;

  private revision = 0;

  private readonly objects = new Map<string, { version: number; revision: number; json: string }>();

  constructor(private readonly clock: ManualClock) {}

  async get(kind: string, name: string): StoreResult<StoredObject> {
    this.reads += 1;
    await this.clock.sleep(STORE_LATENCY_MS);
    const found = this.objects.get(`${kind}/${name}`);
    if (!found) return err({ type: 'not_found' });
    const { version, revision, json } = found;
    return ok({ kind, name, version, revision, value: JSON.parse(json) as unknown });
  }

  create(kind: string, name: string, value: unknown): StoreResult<StoredObject> {
    return this.update(kind, name, value, 0);
  }

  async update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): StoreResult<StoredObject> {
    this.writes += 1;
    const json = JSON.stringify(value);
    this.writtenBytes += json.length;
    await this.clock.sleep(STORE_LATENCY_MS);
    const key = `${kind}/${name}`;
    if ((this.objects.get(key)?.version ?? 0) !== expectedVersion) {
      this.conflicts += 1;
      return err({ type: 'conflict' });
    }
    this.revision += 1;
    const version = expectedVersion + 1;
    this.objects.set(key, { version, revision: this.revision, json });
    return ok({ kind, name, version, revision: this.revision, value });
  }

  async list(): StoreResult<ObjectList> {
    return err({ type: 'unavailable', message: 'not supported by CountingStore' });
  }

  async remove(): StoreResult<{ revision: number }> {
    return err({ type: 'unavailable', message: 'not supported by CountingStore' });
  }

  async getRevision(): StoreResult<number> {
    return ok(this.revision);
  }

  watch(): AsyncIterable<never> {
    throw new Error('not supported by CountingStore');
  }
}

/** Handles a request on an instance; resolves to its wait in milliseconds, undefined if refused. */
type RequestHandler = (instance: number, request: number) => Promise<number | undefined>;

interface SimulationContext {
  clock: ManualClock;
  random: Random;
  store: CountingStore;
}

interface Measurement {
  requests: number;
  refused: number;
  waitsMs: number[];
  store: CountingStore;
}

/**
 * Advances in steps of at most 1 ms, so that timers set by a callback start at the time of its
 * step.
 */
async function advanceInSteps(clock: ManualClock, targetMs: number): Promise<void> {
  while (clock.monotonicMs() < targetMs) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    await clock.advance(Math.min(1, targetMs - clock.monotonicMs()));
  }
}

/** Sends requests with random arrival times to random instances and waits for pending writes. */
async function measure(
  ratePerSecond: number,
  start: (context: SimulationContext) => RequestHandler,
): Promise<Measurement> {
  const clock = new ManualClock(1_000_000);
  const random = createRandom(SEED);
  const store = new CountingStore(clock);
  const handle = start({ clock, random, store });
  const waitsMs: number[] = [];
  let refused = 0;
  const run = async (request: number) => {
    const waitMs = await handle(random.nextInt(INSTANCES), request);
    if (waitMs === undefined) refused += 1;
    else waitsMs.push(waitMs);
  };
  let requests = 0;
  const endMs = clock.monotonicMs() + DURATION_MS;
  let nextMs = clock.monotonicMs();
  for (;;) {
    nextMs += (-Math.log(1 - random.next()) * 1000) / ratePerSecond;
    if (nextMs > endMs) break;
    await advanceInSteps(clock, nextMs);
    requests += 1;
    void run(requests);
  }
  await advanceInSteps(clock, endMs + DRAIN_MS);
  return { requests, refused, waitsMs: waitsMs.sort((a, b) => a - b), store };
}

function startClaimJournals({ clock, store }: SimulationContext): RequestHandler {
  const journals = Array.from(
    { length: INSTANCES },
    (_, index) =>
      new ClaimJournal({
        store,
        clock,
        random: createRandom(SEED + index),
        lifecycle: new LifecycleManager(),
        owner: `i${index}`,
        getIncarnation: () => 1,
        retentionMs: RETENTION_MS,
      }),
  );
  return async (instance, request) => {
    const startedAtMs = clock.monotonicMs();
    const journal = journals[instance];
    const claimed = await journal?.claim('club', `key-${request}`, `digest-${request}`);
    if (!journal || !claimed?.isOk() || claimed.value.type !== 'granted') return undefined;
    const waitMs = clock.monotonicMs() - startedAtMs;
    await clock.sleep(SERVICE_TIME_MS);
    await journal.complete(claimed.value.claim, answer);
    return waitMs;
  };
}

/** Baseline: one object per claim, updated with the outcome. */
function startSingleClaims({ clock, store }: SimulationContext): RequestHandler {
  return async (instance, request) => {
    const startedAtMs = clock.monotonicMs();
    const created = await store.create('claim', `${request}`, { owner: instance });
    const waitMs = clock.monotonicMs() - startedAtMs;
    await clock.sleep(SERVICE_TIME_MS);
    const version = created.isOk() ? created.value.version : 0;
    await store.update('claim', `${request}`, { owner: instance, state: 'done' }, version);
    return waitMs;
  };
}

function createBill(request: number): UnnumberedBill {
  return {
    workspace: 'club',
    requestId: `request-${request}`,
    model: 'small',
    version: '1',
    promptTokens: 400,
    completionTokens: 200,
    costMicros: 120,
    finishedAtMs: request,
    steps: [],
  };
}

function startBillingJournals({ clock, store }: SimulationContext): RequestHandler {
  const journals: BillingJournal[] = [];
  for (let index = 0; index < INSTANCES; index += 1) {
    const getHolder = () => journals[(index + 1) % INSTANCES];
    const copier: BillCopier = {
      copy: async (bills) => {
        await clock.sleep(COPY_LATENCY_MS);
        return getHolder()?.holdCopies(bills) ?? false;
      },
      release: (origin, incarnation, upTo) => getHolder()?.releaseCopies(origin, incarnation, upTo),
    };
    const lifecycle = new LifecycleManager();
    const origin = `i${index}`;
    journals.push(new BillingJournal({ store, copier, clock, lifecycle, origin, incarnation: 1 }));
  }
  return async (instance, request) => {
    const startedAtMs = clock.monotonicMs();
    const recorded = await journals[instance]?.record(createBill(request));
    return recorded?.isOk() ? clock.monotonicMs() - startedAtMs : undefined;
  };
}

/** Baseline: one object per bill. */
function startSingleBills({ clock, store }: SimulationContext): RequestHandler {
  return async (_instance, request) => {
    const startedAtMs = clock.monotonicMs();
    const stored = await store.create('bill', `${request}`, createBill(request));
    return stored.isOk() ? clock.monotonicMs() - startedAtMs : undefined;
  };
}

function formatRow(cells: readonly (string | number)[]): string {
  return `${cells.map((cell) => String(cell).padStart(12)).join('')}\n`;
}

function getQuantile(sorted: readonly number[], quantile: number): string {
  const value = sorted[Math.floor((sorted.length - 1) * quantile)];
  return value === undefined ? '-' : value.toFixed(0);
}

async function printTable(
  title: string,
  startJournal: (context: SimulationContext) => RequestHandler,
  startSingle: (context: SimulationContext) => RequestHandler,
): Promise<void> {
  process.stdout.write(`\n${title}\n`);
  const header = ['rate/s', 'requests', 'refused', 'writes', 'writes/req', 'single/req'];
  const costs = ['ratio', 'conflicts', 'reads/req', 'KB/write', 'p50 ms', 'p99 ms'];
  process.stdout.write(formatRow([...header, ...costs]));
  for (const rate of RATES_PER_SECOND) {
    const journal = await measure(rate, startJournal);
    const single = await measure(rate, startSingle);
    const { store, requests } = journal;
    const perRequest = store.writes / requests;
    const singlePerRequest = single.store.writes / single.requests;
    const row = [
      rate,
      requests,
      journal.refused,
      store.writes,
      perRequest.toFixed(3),
      singlePerRequest.toFixed(3),
      (perRequest / singlePerRequest).toFixed(4),
      store.conflicts,
      (store.reads / requests).toFixed(3),
      (store.writtenBytes / store.writes / 1000).toFixed(1),
      getQuantile(journal.waitsMs, 0.5),
      getQuantile(journal.waitsMs, 0.99),
    ];
    process.stdout.write(formatRow(row));
  }
}

process.stdout.write(
  `seed ${SEED}, ${INSTANCES} instances, ${DURATION_MS / 1000} s of requests for each rate, ` +
    `store latency ${STORE_LATENCY_MS} ms; all times are simulated\n`,
);
await printTable('Claims (claim and outcome)', startClaimJournals, startSingleClaims);
await printTable('Bills', startBillingJournals, startSingleBills);
