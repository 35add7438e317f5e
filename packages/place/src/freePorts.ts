import { createServer } from 'node:net';

// Below the ephemeral port range (32768 and above on Linux), so that no outgoing connection
// occupies the port of a process that is being restarted.
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
// Concurrent launchers start their search at different ports.
const LAUNCHER_PORT_STRIDE = 101;

let nextOffset = (process.pid * LAUNCHER_PORT_STRIDE) % PORT_COUNT;

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
