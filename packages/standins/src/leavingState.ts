/** Whether and since when an upstream announces that it leaves. */
export class LeavingState {
  private startedAtMs: number | undefined;

  private isClosing = false;

  /** @param isInjected whether the fault `leaving` is active. */
  constructor(private readonly isInjected: () => boolean) {}

  /** Wall-clock time of the announcement, or undefined. */
  get sinceMs(): number | undefined {
    return this.isClosing || this.isInjected() ? this.startedAtMs : undefined;
  }

  /** Starts the announcement of an injected fault. */
  start(): void {
    this.startedAtMs = Date.now();
  }

  /** Starts the announcement of a planned stop; it never ends. */
  startClosing(): void {
    this.startedAtMs = this.sinceMs ?? Date.now();
    this.isClosing = true;
  }
}
