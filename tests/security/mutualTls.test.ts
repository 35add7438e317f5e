import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

import { LocalCluster } from '@cactusstair/place';
import type { InstanceList } from '@cactusstair/protocol';
import { OperatorClient, PeerClient } from '@cactusstair/protocol';
import { waitFor } from '@cactusstair/utils';
import { ChannelCredentials } from '@grpc/grpc-js';

import type { Authority, Identity } from './certificates.js';
import { createAuthority, createIdentity, getAuthorityPem, writeTlsFiles } from './certificates.js';

const API_KEY = 'tls-secret-key-51c9';
const WAIT_MS = 30_000;
const CALL_MS = 5000;

describe('instances with mutual TLS', () => {
  const dir = mkdtempSync(join(tmpdir(), 'cactusstair-tls-'));
  const runDir = join(dir, 'logs');
  let authority: Authority;
  let identity: Identity;
  let otherAuthority: Authority;
  let files: ReturnType<typeof writeTlsFiles>;
  let place: LocalCluster;
  const answers: string[] = [];

  before(async () => {
    authority = await createAuthority('instances');
    otherAuthority = await createAuthority('other');
    identity = await createIdentity(authority, { serial: '0a' });
    files = writeTlsFiles(dir, authority, identity);
    place = await LocalCluster.start({
      runDir,
      zones: [
        { name: 'riga-a', engines: [{ versions: ['small@1'] }] },
        { name: 'riga-b', services: [{ service: 'standings' }] },
      ],
      models: [{ name: 'small', versions: [{ version: '1' }] }],
      workspaces: [{ name: 'ladders', apiKey: API_KEY }],
      entrySettings: { tls: files, logging: { level: 'debug' } },
    });
  });

  after(async () => {
    await place.close();
    rmSync(dir, { recursive: true, force: true });
  });

  const createTls = (ca: Authority, { key, cert }: Identity) =>
    ChannelCredentials.createSsl(getAuthorityPem(ca), key, cert);

  async function listInstances(credentials: ChannelCredentials): Promise<InstanceList> {
    const client = new OperatorClient(place.entries[0]?.operators ?? '', credentials);
    try {
      return await new Promise((resolve, reject) => {
        client.waitForReady(Date.now() + CALL_MS, (failed) => {
          if (failed) {
            reject(failed);
            return;
          }
          client.listInstances({}, (error, reply) => (error ? reject(error) : resolve(reply)));
        });
      });
    } finally {
      client.close();
    }
  }

  async function callPeer(credentials: ChannelCredentials): Promise<unknown> {
    const client = new PeerClient(place.entries[0]?.peers ?? '', credentials);
    try {
      return await new Promise((resolve, reject) => {
        client.waitForReady(Date.now() + CALL_MS, (failed) => {
          if (failed) {
            reject(failed);
            return;
          }
          client.getVersionStats({}, (error, reply) => (error ? reject(error) : resolve(reply)));
        });
      });
    } finally {
      client.close();
    }
  }

  it('lets instances join the membership and answers callers', async () => {
    await waitFor(
      async () => {
        const { instances } = await listInstances(createTls(authority, identity));
        return instances.some(({ id, status }) => id === 'riga-a-1' && status === 'alive');
      },
      { what: 'the instance to list itself', timeoutMs: WAIT_MS },
    );
    // Every answer needs the peer port: its bill is copied to another instance before it ends.
    for (const { callers } of place.entries) {
      const answer = await fetch(`${callers}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
        body: JSON.stringify({ model: 'small', messages: [{ role: 'user', content: 'hello' }] }),
      });
      const headers = [...answer.headers].map(([name, value]) => `${name}: ${value}`).join('\n');
      answers.push(headers, await answer.text());
      assert.equal(answer.status, 200, answers.at(-1));
    }
  });

  it('refuses operators and instances without a valid certificate of its authority', async () => {
    const untrusted = await createIdentity(otherAuthority, { serial: '0b' });
    const expired = await createIdentity(authority, { serial: '0c', expired: true });
    const refused = [
      ChannelCredentials.createInsecure(),
      ChannelCredentials.createSsl(getAuthorityPem(authority)),
      createTls(authority, untrusted),
      createTls(authority, expired),
    ];
    for (const credentials of refused) {
      await assert.rejects(listInstances(credentials));
      await assert.rejects(callPeer(credentials));
    }
    await listInstances(createTls(authority, identity));
    await callPeer(createTls(authority, identity));
  });

  it('does not call an instance that presents a certificate of another authority', async () => {
    // Guards outgoing calls: an address in the object API may belong to an untrusted server.
    const untrusted = await createIdentity(otherAuthority, { serial: '0d' });
    const handshakes = { accepted: 0, refused: 0 };
    const server = createTlsServer({
      ...untrusted,
      requestCert: true,
      rejectUnauthorized: false,
      ALPNProtocols: ['h2'],
    });
    server.on('secureConnection', () => {
      handshakes.accepted += 1;
    });
    server.on('tlsClientError', () => {
      handshakes.refused += 1;
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const url = `${place.platformUrl}/v1/objects/instance`;
    const { value } = (await (await fetch(`${url}/riga-a-1`)).json()) as { value: object };
    const peersAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const written = await fetch(`${url}/untrusted-1`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json', 'if-none-match': '*' },
      body: JSON.stringify({ ...value, id: 'untrusted-1', peersAddress }),
    });
    assert.equal(written.status, 201);
    // An instance reads the instance records when it starts.
    const instance = place.getProcess('riga-b-1');
    await instance.stop();
    await instance.start();
    await waitFor(() => handshakes.refused > 0, {
      what: 'an instance to refuse the certificate of another authority',
      timeoutMs: WAIT_MS,
    });
    assert.equal(handshakes.accepted, 0);
    server.close();
  });

  function readServedSerial(): Promise<string> {
    const [host, port] = (place.entries[0]?.operators ?? '').split(':');
    return new Promise((resolve, reject) => {
      const socket = connectTls(
        {
          host,
          port: Number(port),
          ca: getAuthorityPem(authority),
          cert: identity.cert,
          key: identity.key,
          ALPNProtocols: ['h2'],
        },
        () => {
          resolve(socket.getPeerCertificate().serialNumber);
          socket.destroy();
        },
      );
      socket.on('error', reject);
    });
  }

  it('loads rotated files without a restart, and keeps the old ones until both match', async () => {
    assert.equal(Number.parseInt(await readServedSerial(), 16), 0x0a);
    const next = await createIdentity(authority, { serial: '0e' });
    // After the first of the two writes of a rotation, the certificate and the key do not match.
    writeFileSync(files.certFile, next.cert);
    const log = join(runDir, 'riga-a-1.log');
    await waitFor(() => readFileSync(log, 'utf8').includes('changed certificate files'), {
      what: 'a warning about files that do not match',
      timeoutMs: WAIT_MS,
    });
    assert.equal(Number.parseInt(await readServedSerial(), 16), 0x0a);
    writeFileSync(files.keyFile, next.key);
    await waitFor(async () => Number.parseInt(await readServedSerial(), 16) === 0x0e, {
      what: 'the new certificate to be served',
      timeoutMs: WAIT_MS,
    });
    await listInstances(createTls(authority, next));
  });

  it('exposes no secret in logs, metrics and answers', async () => {
    const keys = (await (
      await fetch(`${place.platformUrl}/v1/objects/sessionkeys/current`)
    ).json()) as { value: { keys: { secret: string }[] } };
    const clusterKey = readFileSync(join(place.settingsDir, 'cluster.key'), 'utf8').trim();
    const secrets = [API_KEY, clusterKey, ...keys.value.keys.map(({ secret }) => secret)];
    const pem = readFileSync(files.keyFile, 'utf8').split('\n')[1] ?? '';
    for (const { metrics, callers } of place.entries) {
      answers.push(await (await fetch(`${metrics}/metrics`)).text());
      const refused = await fetch(`${callers}/v1/models`, {
        headers: { authorization: `Bearer ${API_KEY}x` },
      });
      answers.push(await refused.text());
    }
    const logs = readdirSync(runDir)
      .filter((name) => place.entries.some((entry) => name === `${entry.name}.log`))
      .map((name) => readFileSync(join(runDir, name), 'utf8'));
    assert.equal(logs.length, place.entries.length);
    for (const text of [...answers, ...logs]) {
      for (const secret of [...secrets, pem]) {
        assert.ok(secret.length > 8 && !text.includes(secret), 'a secret is exposed');
      }
    }
  });
});
