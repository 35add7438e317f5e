import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

type Cleanup = () => Promise<void> | void;

interface OwnedResource {
  name: string;
  cleanup: Cleanup;
}

/** Pause after a failure before a task is started again, in milliseconds. */
const TASK_RESTART_MS = 1000;

/**
 * Owns resources and releases them in reverse order of registration.
 *
 * Background tasks started with `startTask` receive the manager's abort signal and are awaited by
 * `close`. A task that fails reports its error to `onTaskError`.
 */
export class LifecycleManager {
  private readonly resources: OwnedResource[] = [];

  private readonly abortController = new AbortController();

  private closing: Promise<void> | undefined;

  constructor(private readonly onTaskError: (taskName: string, error: unknown) => void = () => {}) {
    // Every sleeping task adds a listener to this signal; Node.js warns above ten listeners.
    setMaxListeners(0, this.abortController.signal);
  }

  /** Aborts when `close` begins. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Registers `cleanup` to run on close; `name` is used in its error message. */
  addCleanup(name: string, cleanup: Cleanup): void {
    this.resources.push({ name, cleanup });
  }

  /** Starts a background task that must return soon after its signal aborts. */
  startTask(name: string, run: (signal: AbortSignal) => Promise<void>): void {
    const task = run(this.signal).catch((error: unknown) => {
      if (!this.signal.aborted) this.onTaskError(name, error);
    });
    this.addCleanup(name, () => task);
  }

  /**
   * Starts a background task that is started again after a failure, which it reports to
   * `onTaskError`. It must return soon after its signal aborts.
   */
  startLastingTask(name: string, run: (signal: AbortSignal) => Promise<void>): void {
    this.startTask(name, async (signal) => {
      while (!signal.aborted) {
        try {
          await run(signal);
          return;
        } catch (error) {
          if (!signal.aborted) this.onTaskError(name, error);
        }
        await sleep(TASK_RESTART_MS, undefined, { signal }).catch(() => {});
      }
    });
  }

  /** Aborts the tasks and releases all resources. Repeated calls return the same promise. */
  close(): Promise<void> {
    this.closing ??= this.releaseAll();
    return this.closing;
  }

  private async releaseAll(): Promise<void> {
    this.abortController.abort();
    const errors: unknown[] = [];
    for (const resource of this.resources.reverse()) {
      try {
        await resource.cleanup();
      } catch (error) {
        errors.push(new Error(`closing ${resource.name} failed`, { cause: error }));
      }
    }
    if (errors.length > 0) throw new AggregateError(errors, 'closing resources failed');
  }
}
