import 'reflect-metadata';

import { webcrypto } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import * as x509 from '@peculiar/x509';

type KeyPair = webcrypto.CryptoKeyPair;

// The library is typed for the Web Crypto API of browsers; that of Node.js has the same shape.
x509.cryptoProvider.set(webcrypto as never);

const ALGORITHM = { name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256' } as const;
const HOUR_MS = 3_600_000;

/** A certificate authority for tests. */
export interface Authority {
  certificate: x509.X509Certificate;
  keys: KeyPair;
}

/** A certificate and its private key as PEM text. */
export interface Identity {
  cert: Buffer;
  key: Buffer;
}

function createKeys(): Promise<KeyPair> {
  return webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify']);
}

export async function createAuthority(name: string): Promise<Authority> {
  const keys = await createKeys();
  const certificate = await x509.X509CertificateGenerator.createSelfSigned({
    serialNumber: '01',
    name: `CN=${name}`,
    notBefore: new Date(Date.now() - HOUR_MS),
    notAfter: new Date(Date.now() + HOUR_MS),
    signingAlgorithm: ALGORITHM,
    keys,
    extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
  });
  return { certificate, keys };
}

/** Creates a certificate for 127.0.0.1 that serves as server and as client certificate. */
export async function createIdentity(
  authority: Authority,
  options: { serial: string; expired?: boolean },
): Promise<Identity> {
  const keys = await createKeys();
  const certificate = await x509.X509CertificateGenerator.create({
    serialNumber: options.serial,
    subject: 'CN=instance',
    issuer: authority.certificate.subject,
    notBefore: new Date(Date.now() - 2 * HOUR_MS),
    notAfter: new Date(Date.now() + (options.expired ? -HOUR_MS : HOUR_MS)),
    signingAlgorithm: ALGORITHM,
    publicKey: keys.publicKey,
    signingKey: authority.keys.privateKey,
    extensions: [new x509.SubjectAlternativeNameExtension([{ type: 'ip', value: '127.0.0.1' }])],
  });
  const pkcs8 = await webcrypto.subtle.exportKey('pkcs8', keys.privateKey);
  return {
    cert: Buffer.from(certificate.toString('pem')),
    key: Buffer.from(x509.PemConverter.encode(pkcs8, 'PRIVATE KEY')),
  };
}

export function getAuthorityPem(authority: Authority): Buffer {
  return Buffer.from(authority.certificate.toString('pem'));
}

/** Writes the files that the setting `tls` refers to, and returns their names. */
export function writeTlsFiles(dir: string, authority: Authority, identity: Identity) {
  const files = {
    caFile: join(dir, 'ca.pem'),
    certFile: join(dir, 'node.pem'),
    keyFile: join(dir, 'node.key'),
  };
  writeFileSync(files.caFile, getAuthorityPem(authority));
  writeFileSync(files.certFile, identity.cert);
  writeFileSync(files.keyFile, identity.key);
  return files;
}
