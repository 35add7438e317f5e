/**
 * Stand-in for a server of a service: it checks the expected instance, runs up to `slots` requests
 * at once, stops at the deadline that it is given, echoes the id and seals its answers.
 */
import { createServer } from 'node:http';

export class ServerStandin {
  /**
   * @param options `host`, `id`, `slots` and `record`, and `run(request, context)`, which answers a
   * request that runs
   */
  constructor(options) {
    this.options = options;
    this.running = 0;
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 5000;
  }

  async start(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.options.host, resolve);
    });
    return this;
  }

  get address() {
    return `${this.options.host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(request, response) {
    const { id, record, run, slots = 6 } = this.options;
    const attempt = request.headers['x-attempt-id'];
    const chunks = [];
    response.on('error', () => {});
    request.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const expected = request.headers['x-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'x-instance-id': id, 'content-length': 0 });
        response.end();
        return;
      }
      if (this.running >= slots) {
        record('not run', { attempt, server: id });
        response.writeHead(503, {
          'x-attempt-id': attempt,
          'x-not-executed': '1',
          'content-length': 0,
        });
        response.end();
        return;
      }
      this.running += 1;
      const deadlineMs = Number(request.headers['x-deadline-ms'] ?? Infinity);
      record('run', { attempt, server: id, deadlineMs, path: request.url });
      const finish = () => {
        this.running -= 1;
        record('run ended', { attempt, server: id });
      };
      response.once('close', finish);
      run({ request, response, attempt, deadlineMs, body: Buffer.concat(chunks), server: this });
    });
  }
}

/** Headers of an answer that the server made. */
export function createHeaders(id, attempt, extra = {}) {
  return {
    'x-attempt-id': attempt,
    'x-response-seal': `seal.${id}.${attempt}`,
    'x-instance-id': id,
    ...extra,
  };
}

/** Answers after `workMs`, or with 504 at the deadline; a closed channel ends the work. */
export function answerAfter({ response, attempt, deadlineMs, server }, workMs, extra = {}) {
  const { id } = server.options;
  const isLate = deadlineMs < workMs;
  const timer = setTimeout(
    () => {
      const body = JSON.stringify({ id: attempt, server: id });
      response.writeHead(
        isLate ? 504 : 200,
        createHeaders(id, attempt, { 'content-length': Buffer.byteLength(body), ...extra }),
      );
      response.end(body);
    },
    Math.min(workMs, deadlineMs),
  );
  response.once('close', () => clearTimeout(timer));
}
