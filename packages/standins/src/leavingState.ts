/** Tracks whether and since when an upstream announces its shutdown. */
export class LeavingState {
  private startedAtMs: number | undefined;

  private isClosing = false;

  /** @param isInjected whether the fault `leaving` is active. */
  constructor(private readonly isInjected: () => boolean) {}

  /** Wall-clock time at which the announcement started, or undefined without one. */
  get sinceMs(): number | undefined {
    return this.isClosing || this.isInjected() ? this.startedAtMs : undefined;
  }

  /** Starts the announcement for the injected fault `leaving`. */
  start(): void {
    this.startedAtMs = Date.now();
  }

  /** Starts the announcement of a graceful shutdown, which lasts until the process exits. */
  startClosing(): void {
    this.startedAtMs = this.sinceMs ?? Date.now();
    this.isClosing = true;
  }
}
