import type {
  ServerCredentials,
  ServiceDefinition,
  UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { Server } from '@grpc/grpc-js';

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** A gRPC server with one service on one address. */
export class GrpcServer {
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });

  constructor(
    service: ServiceDefinition,
    implementation: UntypedServiceImplementation,
    private readonly credentials: ServerCredentials,
  ) {
    this.server.addService(service, implementation);
  }

  /** Starts listening on `address`, an IP address and a port. */
  listen(address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(address, this.credentials, (error) => {
        if (error) reject(error);
        else resolve();
      });
    });
  }

  /** Refuses new calls, waits up to `graceMs` for the open ones and then cancels them. */
  close(graceMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.server.forceShutdown();
        resolve();
      }, graceMs);
      this.server.tryShutdown(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
