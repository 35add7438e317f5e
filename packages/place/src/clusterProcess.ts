import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

/** Options of `ClusterProcess`. */
export interface ClusterProcessOptions {
  role: string;
  name: string;
  zone: string;
  /** Arguments after `node`. */
  args: string[];
  /** File that receives standard output and standard error. */
  logFile: string;
  readyTimeoutMs: number;
  stopTimeoutMs: number;
}

/** The JSON line that a process prints once it is listening. */
export type ReadyLine = Record<string, unknown> & { ready: true };

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const value = JSON.parse(line) as { ready?: unknown } | null;
    return value?.ready === true ? (value as ReadyLine) : undefined;
  } catch {
    return undefined;
  }
}

/** One child process of a cluster. */
export class ClusterProcess {
  readonly role: string;

  readonly name: string;

  readonly zone: string;

  /** Resolves when the process has ended. */
  exited: Promise<ProcessExit> = Promise.resolve({ code: null, signal: null });

  private child: ChildProcess | undefined;

  private ready: ReadyLine | undefined;

  constructor(private readonly options: ClusterProcessOptions) {
    this.role = options.role;
    this.name = options.name;
    this.zone = options.zone;
  }

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /** The ready line; throws before the process is ready. */
  get readyLine(): ReadyLine {
    if (!this.ready) throw new Error(`${this.name} is not ready`);
    return this.ready;
  }

  /** Starts the process, or restarts it after it ended, and waits for its ready line. */
  async start(): Promise<ReadyLine> {
    if (this.isRunning) throw new Error(`${this.name} is already running`);
    this.ready = undefined;
    const child = spawn(process.execPath, this.options.args, {
      stdio: ['pipe', 'pipe', 'pipe'],
      // Ctrl-C and signals to the launcher's process group must not stop the platform before the
      // entry instances have flushed to it.
      detached: true,
    });
    this.child = child;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
      child.once('error', () => resolve({ code: null, signal: null }));
    });
    const log = createWriteStream(this.options.logFile, { flags: 'a' });
    child.stderr.pipe(log, { end: false });
    child.stdout.pipe(log, { end: false });
    child.once('close', () => log.end());
    this.ready = await this.waitUntilReady(child);
    return this.ready;
  }

  /** Sends SIGTERM and waits for the exit; kills the process after `stopTimeoutMs`. */
  async stop(): Promise<ProcessExit> {
    if (!this.isRunning) return this.exited;
    this.child?.kill('SIGTERM');
    // A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
    this.child?.kill('SIGCONT');
    const timer = setTimeout(() => this.child?.kill('SIGKILL'), this.options.stopTimeoutMs);
    const exit = await this.exited;
    clearTimeout(timer);
    return exit;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<ProcessExit> {
    if (this.isRunning) this.child?.kill('SIGKILL');
    return this.exited;
  }

  /** Sends SIGKILL without waiting. */
  killNow(): void {
    if (this.isRunning) this.child?.kill('SIGKILL');
  }

  /** Sends SIGSTOP. */
  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  /** Sends SIGCONT. */
  resume(): void {
    this.child?.kill('SIGCONT');
  }

  private waitUntilReady(child: ChildProcess): Promise<ReadyLine> {
    const { name, readyTimeoutMs, logFile } = this.options;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        child.kill('SIGKILL');
        reject(new Error(`waited ${readyTimeoutMs} ms for ${name} to be ready; see ${logFile}`));
      }, readyTimeoutMs);
      if (child.stdout) {
        createInterface({ input: child.stdout }).on('line', (line) => {
          const ready = parseReadyLine(line);
          if (!ready) return;
          clearTimeout(timer);
          resolve(ready);
        });
      }
      this.exited.then(
        ({ code, signal }) => {
          clearTimeout(timer);
          const end = signal ?? `code ${code}`;
          reject(new Error(`${name} ended with ${end} before it was ready; see ${logFile}`));
        },
        () => {},
      );
    });
  }
}
