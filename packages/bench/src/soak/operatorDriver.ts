import type { Bill, Change, UnaryMethod } from '@cactusstair/protocol';
import { callUnary, OperatorClient, RolloutPhase, Rollout, Workspace } from '@cactusstair/protocol';
import { systemClock } from '@cactusstair/utils';
import { credentials } from '@grpc/grpc-js';

import type { OperatorRecord } from './recording.js';

const CALL_TIMEOUT_MS = 5000;
const RETRY_INTERVAL_MS = 500;

/** Changes the configuration through several instances, including conflicting changes. */
export class OperatorDriver {
  readonly records: OperatorRecord[] = [];

  private readonly clients: OperatorClient[];

  private races = 0;

  private roundRobinIndex = 0;

  /** @param addresses gRPC addresses of the entry instances for operators. */
  constructor(addresses: readonly string[]) {
    this.clients = addresses.map(
      (address) => new OperatorClient(address, credentials.createInsecure()),
    );
  }

  /** Sends concurrent conflicting changes of one workspace, one through each instance. */
  async race(workspace: string): Promise<void> {
    this.races += 1;
    const race = this.races;
    const stored = await this.retry((client) =>
      this.call(client, client.getWorkspace, { name: workspace }),
    );
    await Promise.all(
      this.clients.map((client, index) =>
        this.put(client, stored.workspace, stored.version, 1 + index + race * 10, race),
      ),
    );
  }

  /**
   * Makes one change without concurrent changes and returns its record.
   *
   * @throws when no instance accepts it within the retry time.
   */
  async change(workspace: string, weight: number): Promise<OperatorRecord> {
    return this.retry(async (client) => {
      const stored = await this.call(client, client.getWorkspace, { name: workspace });
      const record = await this.put(client, stored.workspace, stored.version, weight);
      if (!record.accepted) throw new Error(record.error);
      return record;
    });
  }

  /** Withdraws a version; retries until an instance accepts. */
  async withdraw(name: string, permit: 'candidate' | 'settled'): Promise<void> {
    const [model = '', version = ''] = name.split('@');
    await this.retry((client) =>
      this.record({ action: 'withdraw', name, permit }, () =>
        this.call(client, client.withdrawVersion, { model, version, expectedVersion: 0 }),
      ).then(assertAccepted),
    );
  }

  async startRollout(name: string): Promise<void> {
    const [model = '', candidateVersion = ''] = name.split('@');
    const rollout = Rollout.fromPartial({
      name: `to-${model}-${candidateVersion}`,
      model,
      candidateVersion,
      steps: [30, 60],
      phase: RolloutPhase.LOADING,
      minRatingsPerStep: 10_000,
      qualityMargin: 0.2,
    });
    await this.retry((client) =>
      this.record({ action: 'rollout', name }, () =>
        this.call(client, client.startRollout, { rollout }),
      ).then(assertAccepted),
    );
  }

  /** Exports all bills; retries with another instance if the stream fails. */
  async exportBills(): Promise<Bill[]> {
    return this.retry(async (client) => {
      const bills: Bill[] = [];
      for await (const bill of client.exportBills({ workspace: '' })) bills.push(bill as Bill);
      return bills;
    });
  }

  close(): void {
    for (const client of this.clients) client.close();
  }

  private put(
    client: OperatorClient,
    workspace: Workspace | undefined,
    expectedVersion: number,
    weight: number,
    race?: number,
  ): Promise<OperatorRecord> {
    const changed = Workspace.fromPartial({ ...workspace, weight });
    return this.record(
      { action: 'put', name: changed.name, ...(race !== undefined && { race }) },
      () => this.call(client, client.putWorkspace, { workspace: changed, expectedVersion }),
    );
  }

  private async record(
    shape: Pick<OperatorRecord, 'action' | 'name'> & Partial<OperatorRecord>,
    send: () => Promise<Change>,
  ): Promise<OperatorRecord> {
    const record: OperatorRecord = { ...shape, sentAtMs: Date.now(), accepted: false };
    this.records.push(record);
    try {
      const change = await send();
      record.accepted = true;
      record.revision = change.revision;
      record.acceptedAtMs = change.acceptedAtMs;
    } catch (error) {
      record.error = (error as Error).message;
    }
    return record;
  }

  private async retry<T>(run: (client: OperatorClient) => Promise<T>): Promise<T> {
    let lastError: unknown;
    // Longer than any fault of the schedule.
    for (const deadlineMs = Date.now() + 40_000; Date.now() < deadlineMs;) {
      this.roundRobinIndex += 1;
      const client = this.clients[this.roundRobinIndex % this.clients.length] as OperatorClient;
      try {
        return await run(client);
      } catch (error) {
        lastError = error;
        await systemClock.sleep(RETRY_INTERVAL_MS);
      }
    }
    throw lastError;
  }

  private call<Request, Reply>(
    client: OperatorClient,
    method: UnaryMethod<Request, Reply>,
    request: Request,
  ): Promise<Reply> {
    return callUnary(client, method, request, CALL_TIMEOUT_MS);
  }
}

function assertAccepted(record: OperatorRecord): OperatorRecord {
  if (!record.accepted) throw new Error(record.error);
  return record;
}
