import type {
  Bill,
  Change,
  ChangeStatus,
  GetChangeRequest,
  Model,
  Rollout,
  StoredModel,
  StoredRollout,
} from '@cactusstair/protocol';
import { OperatorClient as GrpcOperatorClient } from '@cactusstair/protocol';
import type { ServiceError } from '@grpc/grpc-js';
import { credentials } from '@grpc/grpc-js';

type UnaryCall<Request, Reply> = (
  request: Request,
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/** A failed operator call. */
export class OperatorError extends Error {
  constructor(
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

/** Promise-based client of the operator API. Failed calls reject with `OperatorError`. */
export class OperatorClient {
  private readonly client: GrpcOperatorClient;

  constructor(address: string) {
    this.client = new GrpcOperatorClient(address, credentials.createInsecure());
  }

  getModel(name: string): Promise<StoredModel> {
    return this.call(this.client.getModel.bind(this.client), { name });
  }

  putModel(model: Model, expectedVersion: number): Promise<Change> {
    return this.call(this.client.putModel.bind(this.client), { model, expectedVersion });
  }

  withdrawVersion(model: string, version: string): Promise<Change> {
    const request = { model, version, expectedVersion: 0 };
    return this.call(this.client.withdrawVersion.bind(this.client), request);
  }

  getChange(request: GetChangeRequest): Promise<ChangeStatus> {
    return this.call(this.client.getChange.bind(this.client), request);
  }

  rotateSessionKeys(): Promise<Change> {
    return this.call(this.client.rotateSessionKeys.bind(this.client), {});
  }

  startRollout(rollout: Rollout): Promise<Change> {
    return this.call(this.client.startRollout.bind(this.client), { rollout });
  }

  getRollout(name: string): Promise<StoredRollout> {
    return this.call(this.client.getRollout.bind(this.client), { name });
  }

  async exportBills(workspace = ''): Promise<Bill[]> {
    const bills: Bill[] = [];
    for await (const bill of this.client.exportBills({ workspace })) bills.push(bill as Bill);
    return bills;
  }

  close(): void {
    this.client.close();
  }

  private call<Request, Reply>(method: UnaryCall<Request, Reply>, request: Request) {
    return new Promise<Reply>((resolve, reject) => {
      method(request, (error, reply) => {
        if (!error) {
          resolve(reply);
          return;
        }
        const [code] = error.metadata.get('x-cactusstair-code');
        reject(new OperatorError(Number(code ?? 0), error.details));
      });
    });
  }
}
