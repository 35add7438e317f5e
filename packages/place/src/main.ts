import { defaultClusterOptions } from './defaultCluster.js';
import { LocalCluster } from './localCluster.js';

function describePlace(place: LocalCluster): object {
  const [workspace] = place.workspaces;
  return {
    ready: true,
    callers: place.entries.map((entry) => entry.callers),
    operators: place.entries.map((entry) => entry.operators),
    workspace: workspace?.name,
    apiKey: workspace?.apiKey,
    models: defaultClusterOptions.models.map((model) => model.name),
    services: place.processes
      .filter((child) => child.role === 'service')
      .map((child) => {
        const name = place.serviceNames.find((service) => child.name.includes(`-${service}-`));
        return { name, path: `/services/${name}/`, journal: `${place.getUrl(child.name)}/journal` };
      }),
    platform: place.platformUrl,
    processes: place.processes.map(({ role, name, zone, pid }) => ({ role, name, zone, pid })),
  };
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => resolve());
  });
}

const stopped = waitForSignal();
try {
  const place = await LocalCluster.start(defaultClusterOptions);
  process.stderr.write(`logs are in ${place.runDir}\n`);
  process.stdout.write(`${JSON.stringify(describePlace(place))}\n`);
  await stopped;
  await place.close();
  process.exit(0);
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exit(1);
}
