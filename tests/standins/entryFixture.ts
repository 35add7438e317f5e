/** Minimal entry instance for tests of `LocalCluster`: reads its settings and lists cascades. */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';

import { parse } from 'yaml';

interface Settings {
  listen: { callers: string; operators: string; peers: string; metrics: string };
  platform: { objectApi: string };
}

const file = process.argv[process.argv.indexOf('--config') + 1] ?? '';
const { listen, platform } = parse(readFileSync(file, 'utf8')) as Settings;
const response = await fetch(`${platform.objectApi}/v1/objects/cascade`);
const { objects } = (await response.json()) as { objects: { name: string }[] };
const answer = JSON.stringify({ cascades: objects.map((object) => object.name) });
const server = createServer((_request, reply) => {
  reply.setHeader('connection', 'close').end(answer);
});
const [host, port] = listen.callers.split(':');
server.listen(Number(port), host, () => {
  const { callers, metrics, ...addresses } = listen;
  const ready = {
    ready: true,
    callers: `http://${callers}`,
    ...addresses,
    metrics: `http://${metrics}`,
  };
  process.stdout.write(`${JSON.stringify(ready)}\n`);
});
process.on('SIGTERM', () => server.close(() => process.exit(0)));
