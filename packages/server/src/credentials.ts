import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';

import type { Logger } from '@cactusstair/utils';
import { ChannelCredentials, experimental, ServerCredentials } from '@grpc/grpc-js';

/** Paths of the PEM files with an instance's CA, certificate and private key. */
export interface TlsFiles {
  caFile: string;
  certFile: string;
  keyFile: string;
}

type CaUpdate = experimental.CaCertificateUpdate;
type IdentityUpdate = experimental.IdentityCertificateUpdate;

interface TlsMaterial {
  ca: Buffer;
  certificate: Buffer;
  privateKey: Buffer;
}

/** Changed files are loaded within this time. Open connections keep the old certificates. */
const REFRESH_INTERVAL_MS = 1000;

/**
 * Polls certificate files and notifies the gRPC library of changes.
 *
 * The library's own file watcher drops every connection while the certificate and the key do not
 * match, which happens between the two writes of a rotation. This provider keeps the last valid set.
 */
export class CertificateFiles implements experimental.CertificateProvider {
  private readonly caListeners = new Set<experimental.CaCertificateUpdateListener>();

  private readonly identityListeners = new Set<experimental.IdentityCertificateUpdateListener>();

  private current: TlsMaterial;

  private readonly timer: NodeJS.Timeout;

  private lastProblem: string | undefined;

  /**
   * @param logger logs an error of changed files when it first occurs and when it changes.
   * @throws Error when the files cannot be loaded initially.
   */
  constructor(
    private readonly files: TlsFiles,
    private readonly logger: Logger,
  ) {
    this.current = readMaterial(files);
    this.timer = setInterval(() => this.refresh(), REFRESH_INTERVAL_MS);
    this.timer.unref();
  }

  close(): void {
    clearInterval(this.timer);
  }

  addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.add(listener);
    // The library registers its own listener only after this call returns.
    process.nextTick(listener, this.createCaUpdate());
  }

  removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.delete(listener);
  }

  addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
    this.identityListeners.add(listener);
    process.nextTick(listener, this.createIdentityUpdate());
  }

  removeIdentityCertificateListener(
    listener: experimental.IdentityCertificateUpdateListener,
  ): void {
    this.identityListeners.delete(listener);
  }

  private createCaUpdate(): CaUpdate {
    return { caCertificate: this.current.ca };
  }

  private createIdentityUpdate(): IdentityUpdate {
    const { certificate, privateKey } = this.current;
    return { certificate, privateKey };
  }

  private refresh(): void {
    try {
      const next = readMaterial(this.files);
      this.lastProblem = undefined;
      if (isEqual(this.current, next)) return;
      this.current = next;
      for (const listener of this.caListeners) listener(this.createCaUpdate());
      for (const listener of this.identityListeners) listener(this.createIdentityUpdate());
    } catch (error) {
      const problem = (error as Error).message;
      if (problem !== this.lastProblem) {
        this.logger.warn(
          'changed certificate files could not be loaded; keeping the previous ones',
          { problem },
        );
      }
      this.lastProblem = problem;
    }
  }
}

/** Reads the files and checks that the certificate matches the private key. */
function readMaterial({ caFile, certFile, keyFile }: TlsFiles): TlsMaterial {
  const ca = readFileSync(caFile);
  const certificate = readFileSync(certFile);
  const privateKey = readFileSync(keyFile);
  try {
    createSecureContext({ ca, cert: certificate, key: privateKey });
  } catch (error) {
    const { message } = error as Error;
    throw new Error(`certificate ${certFile} and key ${keyFile} cannot be used: ${message}`);
  }
  return { ca, certificate, privateKey };
}

function isEqual(a: TlsMaterial, b: TlsMaterial): boolean {
  return (
    a.ca.equals(b.ca) && a.certificate.equals(b.certificate) && a.privateKey.equals(b.privateKey)
  );
}

/** Creates server credentials that require a client certificate; insecure ones without `files`. */
export function createServerCredentials(files: CertificateFiles | undefined): ServerCredentials {
  if (!files) return ServerCredentials.createInsecure();
  return experimental.createCertificateProviderServerCredentials(files, files, true);
}

/** Creates client credentials with a certificate; insecure ones without `files`. */
export function createChannelCredentials(files: CertificateFiles | undefined): ChannelCredentials {
  if (!files) return ChannelCredentials.createInsecure();
  return experimental.createCertificateProviderChannelCredentials(files, files);
}
