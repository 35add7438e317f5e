import assert from 'node:assert/strict';
import type { Socket } from 'node:net';

import { sendRequest } from '../../relay/support/caller.js';
import { API_KEY, HOST } from '../../relay/support/relayFixture.js';
import { formatAnswer, ScriptedUpstream } from '../../relay/support/scriptedUpstream.js';
import type { InstancePorts, InstanceProcess } from './instanceProcess.js';
import {
  findInstancePorts,
  formatSettings,
  InstanceProgram,
  waitReady,
} from './instanceProcess.js';
import { StoreStandin } from './storeStandin.js';
import type { CrowdOptions } from './untrustedCallers.js';
import { closeCrowd, openCrowd, ProcessWatch } from './untrustedCallers.js';

const SEND_TIMEOUT_MS = 20_000;
const ANSWER_TIMEOUT_MS = 60_000;

/** Model that the configuration lists. */
export const MODEL = 'm0';
export const MAX_HEADER_BYTES = 16_384;
export const MAX_BODY_BYTES = 4_194_304;
/** Path of requests that the upstream holds without an answer. */
export const HELD_PATH = '/app/held';

/** What a crowd sends, and to which port. */
export type Crowd = Omit<CrowdOptions, 'port'> & { port: 'callers' | 'readiness' };

/** Memory and descriptors of the machine of an instance. */
export interface MachineSize {
  memoryMb: number;
  maxDescriptors: number;
}

/** What was seen of an instance while a crowd was connected. */
export interface CrowdReport {
  memoryMb: number;
  descriptors: number;
  /** Status of an ordinary request afterwards; 0 if it got no answer. */
  status: number;
  text: string;
}

const config = {
  version: 1,
  routes: [
    { name: 'plain', path_prefix: '/app/', kind: 'unsafe', service: 'app' },
    { name: 'engine', path_prefix: '/engine/', kind: 'streaming', service: 'engine', sizes: [] },
  ].map((route) => ({ ...route, host: HOST, timeout_ms: 30_000, latency_goal_ms: 1000 })),
  services: [
    { name: 'app' },
    {
      name: 'engine',
      engine: { slots: 1000, kv_tokens: 10_000_000, models: [{ name: MODEL, cost: 0.01 }] },
    },
  ],
  tenants: [{ name: 'workspace-1', api_keys: [API_KEY] }],
  limits: { max_header_bytes: MAX_HEADER_BYTES, max_body_bytes: MAX_BODY_BYTES },
};

/** Formats the head of a request to the plain service, with a header that says how it is framed. */
export function formatHead(id: string, framing: string, path = '/app/item'): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${id}`,
    `Api-Key: ${API_KEY}`,
    'X-Deadline-Ms: 20000',
    framing,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

const STREAM = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';

/** The program of the deploy file with a store, a plain upstream and an engine. */
export class CrowdFixture {
  private instance: InstanceProcess | undefined;

  private ports: InstancePorts | undefined;

  private sockets: Socket[] = [];

  private constructor(
    private readonly program: InstanceProgram,
    private readonly store: StoreStandin,
    private readonly upstreams: readonly ScriptedUpstream[],
  ) {}

  static async open(): Promise<CrowdFixture> {
    const program = new InstanceProgram();
    await program.build();
    const store = await StoreStandin.open();
    store.put('config', 'main', config);
    const upstreams = [
      await ScriptedUpstream.open((socket, request) => {
        if (request.path !== HELD_PATH) socket.end(formatAnswer(request, 200, 'whole'));
      }),
      await ScriptedUpstream.open((socket, request) => {
        socket.end(formatAnswer(request, 200, STREAM, { 'Content-Type': 'text/event-stream' }));
      }),
    ];
    ['app', 'engine'].forEach((service, index) => {
      store.put('servers', `upstream-${index}`, {
        service,
        address: `127.0.0.1:${upstreams[index]!.port}`,
        zone: 'zone-1',
        state: 'ready',
        slots: 10_000,
      });
    });
    return new CrowdFixture(program, store, upstreams);
  }

  /** Starts an instance; it runs until `stopInstance`. */
  async startInstance({ memoryMb, maxDescriptors }: MachineSize): Promise<void> {
    this.ports = await findInstancePorts();
    const settings = JSON.parse(formatSettings(this.ports, this.store.address)) as {
      limits: object;
    };
    settings.limits = { ...settings.limits, memory_mb: memoryMb, max_fds: maxDescriptors };
    const path = this.program.writeFile('settings.json', JSON.stringify(settings));
    this.instance = this.program.start(path);
    await waitReady(this.ports);
  }

  async stopInstance(): Promise<void> {
    closeCrowd(this.sockets);
    this.instance?.signal('SIGKILL');
    await this.instance?.ended;
  }

  async close(): Promise<void> {
    await this.program.close();
    for (const upstream of this.upstreams) await upstream.close();
    await this.store.close();
  }

  /** Lets crowds send at the same time, closes them, and sends one ordinary request. */
  async playCrowds(name: string, crowds: readonly Crowd[]): Promise<CrowdReport> {
    const watch = new ProcessWatch(this.instance!.pid);
    const opened = crowds.map((crowd) =>
      openCrowd({ ...crowd, port: this.ports![crowd.port] }, SEND_TIMEOUT_MS),
    );
    this.sockets = (await Promise.all(opened)).flat();
    const closed = this.sockets.filter(({ destroyed }) => destroyed).length;
    closeCrowd(this.sockets);
    const { status, body } = await sendRequest(this.ports!.callers, {
      body: 'ordinary',
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    }).catch((error: unknown) => ({ status: 0, body: String(error) }));
    const { memoryMb, descriptors } = watch.stop();
    const text = `peak ${memoryMb.toFixed(0)} MB, ${descriptors} descriptors, ${closed} closed, ordinary request ${status} ${body}`;
    console.log(`${name}: ${text}`);
    return { memoryMb, descriptors, status, text };
  }

  /** Asserts that the instance lives, stayed within a bound, and answered. */
  assertHeld(report: CrowdReport, { memoryMb, maxDescriptors }: MachineSize): void {
    const { end, output } = this.instance!;
    assert.equal(end, undefined, `the process ended: ${output.slice(-500)}`);
    assert.equal(report.status, 200, report.text);
    assert.ok(report.memoryMb < memoryMb, report.text);
    assert.ok(report.descriptors < maxDescriptors, report.text);
  }
}
