import { existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { waitFor } from '@cactusstair/utils';
import { fetch } from 'undici';
import { stringify } from 'yaml';

import type { EntryPlan } from './entryPlan.js';
import { createEntrySettings, planEntries } from './entryPlan.js';
import { findFreePorts } from './freePorts.js';
import type { ClusterUpstream } from './clusterConfig.js';
import { createConfigEntries, deriveSecret, getApiKey, getServiceNames } from './clusterConfig.js';
import type { ClusterOptions } from './clusterOptions.js';
import { ClusterProcess } from './clusterProcess.js';
import { deriveSeed } from './seed.js';
import type { UpstreamPlan } from './upstreamPlan.js';
import { checkProxies, createQualityTable, planUpstreams } from './upstreamPlan.js';

/** Published addresses of one entry instance. */
export interface EntryAddresses {
  name: string;
  zone: string;
  /** Base URL for callers; that of a proxy if the instance has one. */
  callers: string;
  /** gRPC address, `ip:port`. */
  operators: string;
  peers: string;
  /** Base URL of metrics, health and readiness. */
  metrics: string;
}

const DEFAULT_TIMEOUT_MS = 30_000;
const repositoryDir = fileURLToPath(new URL('../../../', import.meta.url));
const standinsMainFile = join(repositoryDir, 'packages/standins/dist/main.js');
const defaultEntryMainFile = join(repositoryDir, 'packages/cli/dist/main.js');
// Entry instances stop first, while the services to which they flush still run.
const STOP_ORDER = [
  ['entry'],
  ['engine', 'service'],
  ['proxy'],
  ['rater', 'weights'],
  ['platform'],
];

/**
 * A local cluster of child processes: the platform, upstreams and entry instances.
 *
 * @example
 * const cluster = await LocalCluster.start({ zones, models, workspaces });
 * await cluster.getProcess('riga-a-engine-1').kill();
 * await cluster.close();
 */
export class LocalCluster {
  readonly processes: ClusterProcess[] = [];

  readonly entries: EntryAddresses[] = [];

  /** Directory of the logs, `{process name}.log`. `close` keeps it. */
  readonly runDir: string;

  /** Temporary directory of the settings files, `{process name}.yaml`. `close` removes it. */
  readonly settingsDir: string;

  private readonly clusterKeyFile: string;

  private readonly proxies = new Map<string, { address: string; control: string }>();

  private readonly upstreams: ClusterUpstream[] = [];

  private closing: Promise<void> | undefined;

  private readonly killAll = () => {
    for (const child of this.processes) child.killNow();
  };

  private constructor(private readonly options: ClusterOptions) {
    this.runDir =
      options.runDir ?? join(repositoryDir, 'runs', `place-${Date.now()}-${process.pid}`);
    mkdirSync(this.runDir, { recursive: true });
    this.settingsDir = mkdtempSync(join(tmpdir(), 'cactusstair-place-'));
    this.clusterKeyFile = join(this.settingsDir, 'cluster.key');
    writeFileSync(this.clusterKeyFile, `${deriveSecret(options.seed ?? 1, 'cluster-key')}\n`);
    process.once('exit', this.killAll);
  }

  /** Starts a cluster and waits until every process is ready. */
  static async start(options: ClusterOptions): Promise<LocalCluster> {
    const cluster = new LocalCluster(options);
    try {
      await cluster.startAll();
    } catch (error) {
      await cluster.close();
      throw error;
    }
    return cluster;
  }

  /** Base URL of the object API, bypassing any proxy. */
  get platformUrl(): string {
    return this.getUrl('platform');
  }

  get workspaces(): { name: string; apiKey: string }[] {
    return this.options.workspaces.map((workspace) => ({
      name: workspace.name,
      apiKey: getApiKey(workspace),
    }));
  }

  get serviceNames(): string[] {
    return getServiceNames(this.options);
  }

  /** Finds a process by name. */
  getProcess(name: string): ClusterProcess {
    const found = this.processes.find((entry) => entry.name === name);
    if (found) return found;
    const known = this.processes.map((entry) => entry.name).join(', ');
    throw new Error(`the cluster has no process "${name}"; it has: ${known}`);
  }

  /** Returns the base URL of a stand-in, bypassing any proxy; of a proxy, its control port's. */
  getUrl(name: string): string {
    const { readyLine } = this.getProcess(name);
    return `http://${String(readyLine.control ?? readyLine.address)}`;
  }

  /** Injects a fault into a stand-in or a proxy. */
  async injectFault(name: string, fault: { fault: string } & Record<string, unknown>) {
    const response = await fetch(`${this.getUrl(name)}/fault`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(fault),
    });
    if (!response.ok) throw new Error(`${name} refused the fault: ${await response.text()}`);
  }

  /** Fetches the journal of a stand-in. */
  async fetchJournal(name: string): Promise<unknown> {
    return (await fetch(`${this.getUrl(name)}/journal`)).json();
  }

  /** Adds, updates or removes an upstream in the platform's lagging list of instances. */
  async updateInstanceList(name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    const url = `${this.platformUrl}/v1/instances/${name}`;
    const child = this.getProcess(name);
    const body = { address: child.readyLine.address, zone: child.zone, state };
    const response = await (state === 'gone'
      ? fetch(url, { method: 'DELETE' })
      : fetch(url, {
          method: 'PUT',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
        }));
    if (!response.ok)
      throw new Error(`the platform refused the list entry of ${name}: ${response.status}`);
  }

  /** Makes an upstream announce its shutdown, directly and in the platform's list of instances. */
  async startLeaving(name: string): Promise<void> {
    await this.injectFault(name, { fault: 'leaving' });
    await this.updateInstanceList(name, 'leaving');
  }

  /** Stops all processes in order: entry instances, upstreams, proxies, then the platform. */
  close(): Promise<void> {
    this.closing ??= this.stopAll();
    return this.closing;
  }

  private async stopAll(): Promise<void> {
    for (const group of STOP_ORDER) {
      const members = this.processes.filter((child) => group.includes(child.role));
      await Promise.all(members.map((child) => child.stop()));
    }
    process.removeListener('exit', this.killAll);
    rmSync(this.settingsDir, { recursive: true, force: true });
  }

  private get entryMainFile(): string {
    return this.options.entryMainFile ?? defaultEntryMainFile;
  }

  private async startAll(): Promise<void> {
    checkProxies(this.options);
    const hasEntries = this.options.zones.some((zone) => zone.entries !== 0);
    if (hasEntries && !existsSync(this.entryMainFile)) {
      throw new Error(`${this.entryMainFile} does not exist; build it with npm run build`);
    }
    await this.startPlatform();
    const upstreamPlans = this.options.zones.flatMap((zone) =>
      planUpstreams(zone, this.options.models),
    );
    await Promise.all(upstreamPlans.map((plan) => this.startUpstream(plan)));
    this.upstreams.sort((a, b) => (a.name < b.name ? -1 : 1));
    const plans = await planEntries(this.options.zones);
    await this.writeConfig();
    for (const plan of plans) await this.startPeersProxy(plan);
    await Promise.all(plans.map((plan) => this.startEntry(plan, plans)));
    this.entries.sort((a, b) => (a.name < b.name ? -1 : 1));
    if (this.options.awaitReadiness ?? true) {
      await Promise.all(this.entries.map((entry) => this.awaitReadiness(entry)));
    }
  }

  /** Waits until an entry instance has its configuration and reports readiness. */
  private async awaitReadiness({ name, metrics }: EntryAddresses): Promise<void> {
    await waitFor(async () => (await fetch(`${metrics}/readyz`)).ok, {
      what: `${name} to be ready`,
      timeoutMs: this.options.readyTimeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
  }

  private async startPlatform(): Promise<void> {
    const quality = createQualityTable(this.options.models);
    await Promise.all([
      this.startStandin('platform', 'platform', '', { ...this.options.platform }),
      this.startStandin('weights', 'weights', '', { ...this.options.weights }),
      this.startStandin('rater', 'rater', '', { ...this.options.rater, quality }),
    ]);
    for (const name of ['platform', 'weights', 'rater']) await this.startProxiesTo(name);
  }

  private async startUpstream({ upstream, settings }: UpstreamPlan): Promise<void> {
    const { name, kind, zone } = upstream;
    const weightStore = `http://${this.resolveAddress(name, zone, 'weights')}`;
    const platformSettings = kind === 'engine' ? { weightStore } : {};
    await this.startStandin(kind, name, zone, { ...settings, ...platformSettings });
    await this.startProxiesTo(name);
    const url = `http://${this.resolveAddress('*', '*', name)}`;
    this.upstreams.push({ ...upstream, url });
    await this.updateInstanceList(name, 'live');
  }

  private async startProxiesTo(target: string, address?: string): Promise<void> {
    const proxies = (this.options.proxies ?? []).filter(
      (proxy) => proxy.to === target && proxy.port !== 'peers',
    );
    for (const proxy of proxies) {
      const targetAddress = address ?? String(this.getProcess(target).readyLine.address);
      await this.startProxy(proxy.name, targetAddress);
    }
  }

  private async startProxy(name: string, target: string): Promise<string> {
    const ready = await this.startStandin('proxy', name, '', { target });
    const address = String(ready.address);
    this.proxies.set(name, { address, control: String(ready.control) });
    return address;
  }

  /** Starts the proxy of an instance's peer port, if there is one; the instance advertises it. */
  private async startPeersProxy(plan: EntryPlan): Promise<void> {
    const proxy = (this.options.proxies ?? []).find(
      (entry) => entry.to === plan.name && entry.port === 'peers',
    );
    if (proxy) plan.peersAddress = await this.startProxy(proxy.name, plan.peersAddress);
  }

  /** Returns the address at which `from` reaches `to`, through a proxy if one is set. */
  private resolveAddress(from: string, fromZone: string, to: string): string {
    const proxy = (this.options.proxies ?? []).find(
      (entry) => entry.to === to && [from, fromZone, '*'].includes(entry.from),
    );
    if (proxy) return this.proxies.get(proxy.name)?.address ?? '';
    return String(this.getProcess(to).readyLine.address);
  }

  private async writeConfig(): Promise<void> {
    for (const { kind, name, value } of createConfigEntries(this.options, this.upstreams)) {
      const response = await fetch(`${this.platformUrl}/v1/objects/${kind}/${name}`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json', 'if-none-match': '*' },
        body: JSON.stringify(value),
      });
      if (response.status !== 201) {
        throw new Error(`the object API answered ${response.status} to the new ${kind} ${name}`);
      }
    }
  }

  private async startEntry(plan: EntryPlan, plans: EntryPlan[]): Promise<void> {
    const zone = plan.zone.name;
    const settings = createEntrySettings(plan, plans, {
      options: this.options,
      clusterKeyFile: this.clusterKeyFile,
      resolveAddress: (target) => this.resolveAddress(plan.name, zone, target),
    });
    const file = this.writeSettings(plan.name, settings);
    const args = [this.entryMainFile, 'serve', '--config', file];
    const ready = await this.startProcess('entry', plan.name, zone, args);
    await this.startProxiesTo(plan.name, `127.0.0.1:${plan.ports.callers}`);
    const proxy = (this.options.proxies ?? []).find(
      (entry) => entry.to === plan.name && entry.port !== 'peers',
    );
    this.entries.push({
      name: plan.name,
      zone,
      callers: proxy ? `http://${this.proxies.get(proxy.name)?.address}` : String(ready.callers),
      operators: String(ready.operators),
      peers: String(ready.peers),
      metrics: String(ready.metrics),
    });
  }

  private async startStandin(role: string, name: string, zone: string, settings: object) {
    const seed = deriveSeed(this.options.seed ?? 1, name);
    const [port, controlPort] = await findFreePorts(2);
    const file = this.writeSettings(name, {
      seed,
      listen: `127.0.0.1:${port}`,
      ...(role === 'proxy' ? { control: `127.0.0.1:${controlPort}` } : {}),
      ...settings,
    });
    const args = [standinsMainFile, role, '--config', file, '--stop-with-stdin'];
    return this.startProcess(role, name, zone, args);
  }

  private writeSettings(name: string, settings: object): string {
    const file = join(this.settingsDir, `${name}.yaml`);
    writeFileSync(file, stringify(settings));
    return file;
  }

  private startProcess(role: string, name: string, zone: string, args: string[]) {
    const child = new ClusterProcess({
      role,
      name,
      zone,
      args,
      logFile: join(this.runDir, `${name}.log`),
      readyTimeoutMs: this.options.readyTimeoutMs ?? DEFAULT_TIMEOUT_MS,
      stopTimeoutMs: this.options.stopTimeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
    this.processes.push(child);
    return child.start();
  }
}
