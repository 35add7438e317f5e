import { randomUUID } from 'node:crypto';

import type { Bill } from '@cactusstair/protocol';
import { OperatorClient } from '@cactusstair/protocol';
import { alignColumns, waitFor } from '@cactusstair/utils';
import { credentials } from '@grpc/grpc-js';
import OpenAI from 'openai';
import { fetch } from 'undici';

import { defaultClusterOptions } from './defaultCluster.js';
import { LocalCluster } from './localCluster.js';

/** One line of the table that the smoke run prints. */
interface SmokeRow {
  request: string;
  answer: string;
  version: string;
  costMicros: string;
  passed: boolean;
}

/** Values that the checks of the smoke run share. */
interface SmokeContext {
  cluster: LocalCluster;
  client: OpenAI;
  apiKey: string;
  callers: string;
  operator: OperatorClient;
}

const BILL_TIMEOUT_MS = 15_000;
const ANSWER_WIDTH = 32;
const messages = [{ role: 'user' as const, content: 'Is a let serve replayed?' }];

function readOrigin(headers: Headers): Pick<SmokeRow, 'version' | 'costMicros'> {
  const model = headers.get('x-cactusstair-model') ?? '-';
  const version = headers.get('x-cactusstair-version') ?? '-';
  return {
    version: `${model}@${version}`,
    costMicros: headers.get('x-cactusstair-cost-micros') ?? '-',
  };
}

async function runPlain({ client }: SmokeContext, model: string): Promise<SmokeRow> {
  const { data, response } = await client.chat.completions
    .create({ model, messages, max_tokens: 16 })
    .withResponse();
  const text = data.choices[0]?.message.content ?? '';
  const origin = readOrigin(response.headers);
  return {
    request: `chat ${model}`,
    answer: text,
    ...origin,
    passed: text.length > 0 && Number(origin.costMicros) > 0,
  };
}

async function runStreamed({ client }: SmokeContext): Promise<SmokeRow> {
  const { data, response } = await client.chat.completions
    .create({ model: 'medium', messages, max_tokens: 16, stream: true })
    .withResponse();
  let text = '';
  let finished = false;
  for await (const chunk of data) {
    text += chunk.choices[0]?.delta.content ?? '';
    finished ||= chunk.choices[0]?.finish_reason != null;
  }
  return {
    request: 'chat medium, streamed',
    answer: text,
    ...readOrigin(response.headers),
    passed: finished && text.length > 0,
  };
}

/** Checks that a session stays on its version on every instance. */
async function runSession(context: SmokeContext): Promise<SmokeRow> {
  const { client, apiKey, cluster } = context;
  const first = await client.chat.completions
    .create({ model: 'small', messages, max_tokens: 8 })
    .withResponse();
  const session = first.response.headers.get('x-cactusstair-session') ?? '';
  const versions = new Set([first.response.headers.get('x-cactusstair-version')]);
  for (const { callers } of cluster.entries) {
    const other = new OpenAI({ apiKey, baseURL: `${callers}/v1`, maxRetries: 0 });
    const next = await other.chat.completions
      .create(
        { model: 'small', messages, max_tokens: 8 },
        { headers: { 'x-cactusstair-session': session } },
      )
      .withResponse();
    versions.add(next.response.headers.get('x-cactusstair-version'));
  }
  return {
    request: 'session over all instances',
    answer: `versions: ${[...versions].join(',')}`,
    ...readOrigin(first.response.headers),
    passed: session !== '' && versions.size === 1,
  };
}

async function runRefusals({ callers, apiKey }: SmokeContext): Promise<SmokeRow> {
  const body = JSON.stringify({ model: 'small', messages });
  const send = (key: string, text: string) =>
    fetch(`${callers}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: text,
    });
  const answers = [
    await send('wrong', body),
    await send(apiKey, '{"model": '),
    await send(apiKey, JSON.stringify({ model: 'unknown', messages })),
  ];
  const codes = answers.map((answer) => answer.headers.get('x-cactusstair-code')).join(',');
  return {
    request: 'refusals',
    answer: `codes: ${codes}`,
    version: '-',
    costMicros: '-',
    passed: codes === '1102,1101,1103',
  };
}

/** Checks that a non-idempotent call runs once and that its repeats get the first answer. */
async function runServiceCall(context: SmokeContext): Promise<SmokeRow> {
  const { cluster, apiKey } = context;
  const [service = ''] = cluster.serviceNames;
  const key = randomUUID();
  const bodies: string[] = [];
  for (const { callers } of cluster.entries) {
    const answer = await fetch(`${callers}/services/${service}/results`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${apiKey}`,
        'content-type': 'application/json',
        'idempotency-key': key,
        'x-request-id': key,
      },
      body: JSON.stringify({ winner: 'A', loser: 'B' }),
    });
    bodies.push(`${answer.status} ${await answer.text()}`);
  }
  return {
    request: `POST ${service}, sent to each instance`,
    answer: bodies[0] ?? '',
    version: '-',
    costMicros: '0',
    passed: new Set(bodies).size === 1 && (bodies[0] ?? '').startsWith('200'),
  };
}

async function readBills({ operator }: SmokeContext): Promise<Bill[]> {
  const bills: Bill[] = [];
  for await (const bill of operator.exportBills({ workspace: '' })) bills.push(bill as Bill);
  return bills;
}

/** Checks that a request has exactly one bill; polls for it, as bills are flushed periodically. */
async function runBilling(context: SmokeContext): Promise<SmokeRow> {
  const requestId = randomUUID();
  const answer = await context.client.chat.completions
    .create({ model: 'large', messages, max_tokens: 4 }, { headers: { 'x-request-id': requestId } })
    .withResponse();
  const origin = readOrigin(answer.response.headers);
  const found = await waitFor(
    async () => {
      const bills = (await readBills(context)).filter((bill) => bill.requestId === requestId);
      return bills.length > 0 && bills;
    },
    { what: `the bill of request ${requestId}`, timeoutMs: BILL_TIMEOUT_MS, intervalMs: 200 },
  );
  return {
    request: 'bill of a request',
    answer: `${found.length} bill, ${found[0]?.costMicros} micros`,
    ...origin,
    passed: found.length === 1 && String(found[0]?.costMicros) === origin.costMicros,
  };
}

function printTable(rows: readonly SmokeRow[]): void {
  const lines = [
    ['REQUEST', 'ANSWER', 'VERSION', 'COST', 'HOLDS'],
    ...rows.map((row) => [
      row.request,
      row.answer.replaceAll('\n', ' ').slice(0, ANSWER_WIDTH),
      row.version,
      row.costMicros,
      row.passed ? 'yes' : 'NO',
    ]),
  ];
  process.stdout.write(`${alignColumns(lines)}\n`);
}

async function runSmoke(cluster: LocalCluster): Promise<boolean> {
  const [entry] = cluster.entries;
  const [workspace] = cluster.workspaces;
  if (!entry || !workspace) throw new Error('the cluster has no entry instance or no workspace');
  const operator = new OperatorClient(entry.operators, credentials.createInsecure());
  const context: SmokeContext = {
    cluster,
    client: new OpenAI({
      apiKey: workspace.apiKey,
      baseURL: `${entry.callers}/v1`,
      maxRetries: 0,
    }),
    apiKey: workspace.apiKey,
    callers: entry.callers,
    operator,
  };
  const checks = [
    () => runPlain(context, 'small'),
    () => runPlain(context, 'large@1'),
    () => runPlain(context, 'auto'),
    () => runStreamed(context),
    () => runSession(context),
    () => runServiceCall(context),
    () => runRefusals(context),
    () => runBilling(context),
  ];
  const rows: SmokeRow[] = [];
  for (const check of checks) rows.push(await check());
  operator.close();
  printTable(rows);
  return rows.every((row) => row.passed);
}

let cluster: LocalCluster | undefined;
try {
  cluster = await LocalCluster.start(defaultClusterOptions);
  process.exitCode = (await runSmoke(cluster)) ? 0 : 1;
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exitCode = 1;
} finally {
  await cluster?.close();
}
