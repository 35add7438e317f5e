import { defaultClusterOptions } from './defaultCluster.js';
import { LocalCluster } from './localCluster.js';

function describeCluster(cluster: LocalCluster): object {
  const [workspace] = cluster.workspaces;
  return {
    ready: true,
    callers: cluster.entries.map((entry) => entry.callers),
    operators: cluster.entries.map((entry) => entry.operators),
    workspace: workspace?.name,
    apiKey: workspace?.apiKey,
    models: defaultClusterOptions.models.map((model) => model.name),
    services: cluster.processes
      .filter((child) => child.role === 'service')
      .map((child) => {
        const name = cluster.serviceNames.find((service) => child.name.includes(`-${service}-`));
        return {
          name,
          path: `/services/${name}/`,
          journal: `${cluster.getUrl(child.name)}/journal`,
        };
      }),
    platform: cluster.platformUrl,
    processes: cluster.processes.map(({ role, name, zone, pid }) => ({ role, name, zone, pid })),
  };
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => resolve());
  });
}

const stopped = waitForSignal();
try {
  const cluster = await LocalCluster.start(defaultClusterOptions);
  process.stderr.write(`logs are in ${cluster.runDir}\n`);
  process.stdout.write(`${JSON.stringify(describeCluster(cluster))}\n`);
  await stopped;
  await cluster.close();
  process.exit(0);
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(1);
}
