import { createHash, randomBytes } from 'node:crypto';

import type { Bill } from '@cactusstair/protocol';
import { waitFor, WaitTimeoutError } from '@cactusstair/utils';

import { CliError, exitCodes } from '../cliError.js';
import type { OperatorConnection } from '../operatorConnection.js';
import { formatTable, print, printJson } from '../output.js';

const API_KEY_BYTES = 32;
const MS_PER_SECOND = 1000;

function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}

/** Prints where a change is in force; with `waitSeconds`, waits until it is in force everywhere. */
export async function showChange(
  connection: OperatorConnection,
  revision: number,
  options: { acceptedAtMs: number; waitSeconds: number; json: boolean },
): Promise<void> {
  const request = { revision, acceptedAtMs: options.acceptedAtMs };
  const read = () => connection.call(connection.client.getChange, request);
  let status = await read();
  if (options.waitSeconds > 0 && !status.inForceEverywhere) {
    try {
      status = await waitFor(
        async () => {
          const next = await read();
          return next.inForceEverywhere && next;
        },
        {
          what: `revision ${revision} to be in force everywhere`,
          timeoutMs: options.waitSeconds * MS_PER_SECOND,
          intervalMs: 200,
        },
      );
    } catch (error) {
      if (!(error instanceof WaitTimeoutError)) throw error;
      throw new CliError(error.message, exitCodes.unavailable);
    }
  }
  if (options.json) {
    printJson(status);
    return;
  }
  print(
    formatTable(status.zones, [
      { title: 'ZONE', value: (zone) => zone.zone },
      {
        title: 'IN FORCE',
        value: (zone) => `${zone.instancesInForce}/${zone.instancesKnown}`,
      },
      { title: 'WAITING FOR', value: (zone) => zone.waitingFor.join(',') || '-' },
    ]),
  );
  print(`in force everywhere: ${status.inForceEverywhere ? 'yes' : 'not yet'}`);
  if (options.acceptedAtMs > 0) {
    print(
      `an instance that has not received it starts no work on a candidate version after ` +
        `${formatTime(status.candidateUntilMs)}, on a settled version after ` +
        formatTime(status.settledUntilMs),
    );
  }
}

export async function listInstances(
  connection: OperatorConnection,
  options: { json: boolean },
): Promise<void> {
  const { instances } = await connection.call(connection.client.listInstances, {});
  if (options.json) {
    printJson(instances);
    return;
  }
  print(
    formatTable(instances, [
      { title: 'ID', value: (instance) => instance.id },
      { title: 'ZONE', value: (instance) => instance.zone },
      { title: 'STATUS', value: (instance) => instance.status },
      { title: 'REVISION', value: (instance) => instance.appliedRevision },
      { title: 'CONFIRMED', value: (instance) => `${instance.confirmedAgeMs} ms ago` },
    ]),
  );
}

/** Prints every bill once, as JSON lines or as a table with the total. */
export async function exportBills(
  connection: OperatorConnection,
  options: { workspace: string; json: boolean },
): Promise<void> {
  const bills: Bill[] = [];
  try {
    for await (const bill of connection.client.exportBills({ workspace: options.workspace })) {
      if (options.json) printJson(bill);
      else bills.push(bill as Bill);
    }
  } catch (error) {
    throw connection.convertError(error);
  }
  if (options.json) return;
  print(
    formatTable(bills, [
      { title: 'WORKSPACE', value: (bill) => bill.workspace },
      { title: 'REQUEST', value: (bill) => bill.requestId },
      { title: 'MODEL', value: (bill) => bill.model },
      { title: 'VERSION', value: (bill) => bill.version || '-' },
      { title: 'TOKENS', value: (bill) => bill.promptTokens + bill.completionTokens },
      { title: 'COST (MICROS)', value: (bill) => bill.costMicros },
    ]),
  );
  const total = bills.reduce((sum, bill) => sum + bill.costMicros, 0);
  print(`${bills.length} bills, ${total} micros`);
}

/** Prints a new API key and the digest to put into a workspace. The key is not stored. */
export function createApiKey(options: { json: boolean }): void {
  const apiKey = randomBytes(API_KEY_BYTES).toString('base64url');
  const digest = createHash('sha256').update(apiKey).digest('hex');
  if (options.json) printJson({ apiKey, digest });
  else print(`key:    ${apiKey}\ndigest: ${digest}`);
}
