import { createServer } from 'node:net';

// Below the range from which the operating system takes ports of outgoing connections (32768 and
// above on Linux), so that no connection holds the port of a process that is being restarted.
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
// Launchers that run at the same time search from different places.
const PORTS_PER_LAUNCHER = 101;

let nextOffset = (process.pid * PORTS_PER_LAUNCHER) % PORT_COUNT;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}

/** Finds free TCP ports on the loopback interface; never returns a port twice. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; tries < PORT_COUNT && ports.length < count; tries += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  if (ports.length < count) throw new Error(`found ${ports.length} of ${count} free ports`);
  return ports;
}
