import { readFileSync } from 'node:fs';

import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';

/** Files of an instance's certificate, PEM. */
export interface TlsFiles {
  caFile: string;
  certFile: string;
  keyFile: string;
}

/** Creates server credentials that demand a client certificate, or plain ones without `tls`. */
export function createServerCredentials(tls: TlsFiles | undefined): ServerCredentials {
  if (!tls) return ServerCredentials.createInsecure();
  return ServerCredentials.createSsl(
    readFileSync(tls.caFile),
    [{ cert_chain: readFileSync(tls.certFile), private_key: readFileSync(tls.keyFile) }],
    true,
  );
}

/** Creates client credentials with a certificate, or plain ones without `tls`. */
export function createChannelCredentials(tls: TlsFiles | undefined): ChannelCredentials {
  if (!tls) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(
    readFileSync(tls.caFile),
    readFileSync(tls.keyFile),
    readFileSync(tls.certFile),
  );
}
