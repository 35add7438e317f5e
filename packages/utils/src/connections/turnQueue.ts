/** Does one bounded piece of work; returns whether there is more. */
export type TurnStep = () => boolean;

/** Time for which steps run before the event loop handles other events. */
const TURN_BUDGET_MS = 4;

/**
 * Does the work of many connections in rounds of one step each, so that a connection whose bytes cost
 * much delays the others by one step and not by all its bytes.
 */
export class TurnQueue {
  private readonly steps = new Set<TurnStep>();

  private isScheduled = false;

  /** Adds a step at the end of the queue, unless it is there already. */
  add(step: TurnStep): void {
    this.steps.add(step);
    this.schedule();
  }

  remove(step: TurnStep): void {
    this.steps.delete(step);
  }

  private schedule(): void {
    if (this.isScheduled || this.steps.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => this.runTurn());
  }

  private runTurn(): void {
    this.isScheduled = false;
    const untilMs = performance.now() + TURN_BUDGET_MS;
    // Steps that are added again during the iteration are visited again, after all others.
    for (const step of this.steps) {
      this.steps.delete(step);
      if (step()) this.steps.add(step);
      if (performance.now() >= untilMs) break;
    }
    this.schedule();
  }
}

/** Shared by all ports of the process, which share its event loop. */
export const connectionTurns = new TurnQueue();
