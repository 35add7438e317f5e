import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { build } from 'esbuild';

import { findFreePorts } from '@cactusstair/place';
import { waitFor } from '@cactusstair/utils';

const ROOT = resolve(import.meta.dirname, '../../../..');
const START_TIMEOUT_MS = 20_000;

/** Returns the options of Node.js in the command of the deploy file. */
function readNodeOptions(): string[] {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "node (.*) target\/cactusstair\.cjs"$/m.exec(deploy)?.[1];
  if (command === undefined) throw new Error('deploy/system.toml has no run line for node');
  return command.split(' ');
}

/** How a process ended: its exit code, or the name of the signal. */
export type ProcessEnd = number | NodeJS.Signals;

/** The addresses of an instance on this machine. */
export interface InstancePorts {
  callers: number;
  readiness: number;
  peers: number;
}

/** Bundles the program like the build line of the deploy file, into a temporary folder. */
export class InstanceProgram {
  private readonly folder = mkdtempSync(join(tmpdir(), 'cactusstair-'));

  private readonly started: InstanceProcess[] = [];

  readonly path = join(this.folder, 'cactusstair.cjs');

  async build(): Promise<void> {
    await build({
      entryPoints: [join(ROOT, 'platform/src/main.ts')],
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'cjs',
      tsconfig: join(ROOT, 'platform/tsconfig.bundle.json'),
      outfile: this.path,
      logLevel: 'warning',
    });
  }

  /** Writes a file into the temporary folder and returns its path. */
  writeFile(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }

  /** Starts an instance as the deploy file does, with further options of Node.js. */
  start(settingsPath: string, nodeArgs: readonly string[] = []): InstanceProcess {
    const args = [...readNodeOptions(), ...nodeArgs, this.path];
    const instance = new InstanceProcess(args, settingsPath);
    this.started.push(instance);
    return instance;
  }

  async close(): Promise<void> {
    for (const instance of this.started) {
      instance.signal('SIGKILL');
      await instance.ended;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A running instance with its output. */
export class InstanceProcess {
  readonly ended: Promise<ProcessEnd>;

  end: ProcessEnd | undefined;

  output = '';

  private readonly child: ChildProcess;

  constructor(args: readonly string[], settingsPath: string) {
    this.child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, CACTUSSTAIR_BOOT: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream?.on('data', (chunk: Buffer) => {
        this.output += chunk.toString();
      });
    }
    this.ended = once(this.child, 'exit').then(([code, signal]) => {
      this.end = (code ?? signal) as ProcessEnd;
      return this.end;
    });
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Waits for a text in the output; fails if the process ends before. */
  async waitForOutput(text: string): Promise<void> {
    await waitFor(() => this.output.includes(text) || this.end !== undefined, {
      what: `${text} in the output`,
      timeoutMs: START_TIMEOUT_MS,
    });
    if (!this.output.includes(text)) throw new Error(`ended with ${this.end}: ${this.output}`);
  }
}

/** Finds ports for one instance. */
export async function findInstancePorts(): Promise<InstancePorts> {
  const [callers, readiness, peers] = (await findFreePorts(3)) as [number, number, number];
  return { callers, readiness, peers };
}

/** Asks an instance whether it is ready. */
export function fetchReadiness({ readiness }: InstancePorts): Promise<Response> {
  return fetch(`http://127.0.0.1:${readiness}/cactusstair/readiness`);
}

/** Waits until an instance says that it is ready. */
export async function waitReady(ports: InstancePorts): Promise<void> {
  const isReady = () =>
    fetchReadiness(ports).then(
      ({ ok }) => ok,
      () => false,
    );
  await waitFor(isReady, { what: 'the instance to be ready', timeoutMs: START_TIMEOUT_MS });
}

/** Formats the settings file of an instance as the platform writes it. */
export function formatSettings(
  ports: InstancePorts,
  store: string,
  graceSeconds = 8,
  bounds: Record<string, unknown> = {},
): string {
  const ip = '127.0.0.1';
  return JSON.stringify({
    node_name: 'edge-zone-1-1',
    ip,
    zone: 'zone-1',
    listen_addrs: {
      front: `${ip}:${ports.callers}`,
      ready: `${ip}:${ports.readiness}`,
      control: `${ip}:${ports.peers}`,
    },
    port_range: [ports.peers, ports.peers],
    seed_nodes: [],
    limits: { cpu_share: 1, link_mbps: 1000 },
    bounds: { grace_s: graceSeconds, ...bounds },
    platform: { address: store },
  });
}
