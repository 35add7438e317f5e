import { appendFileSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

/** Writes lines with the time since the start to a file, and to standard output. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedMs = performance.now();
    writeFileSync(path, '');
  }

  write(text) {
    const seconds = ((performance.now() - this.startedMs) / 1000).toFixed(3);
    appendFileSync(this.path, `${seconds} ${text}\n`);
  }

  say(text) {
    this.write(text);
    process.stdout.write(`${text}\n`);
  }
}

/** Waits until a condition holds; fails after `timeoutMs`. */
export async function waitUntil(condition, what, timeoutMs = 15_000) {
  const untilMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > untilMs) throw new Error(`not in ${timeoutMs} ms: ${what}`);
    await sleep(20);
  }
}

/** Exit codes of the cases; `run.sh` maps them to those of the review. 1 is that of any error. */
export const HELD = 0;
export const BROKEN = 3;
export const NOT_RUN = 2;
