import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

/** Counts the evaluations and violations of the program's invariants. */
export class Invariants {
  private readonly checks: Counter;

  private readonly violations: Counter;

  /**
   * @param fatal whether a violation throws. Tests and randomised runs set it, so that a
   * violation stops the run at its cause.
   */
  constructor(
    registry: Registry,
    private readonly fatal: boolean,
    private readonly onViolation: (name: string, detail: string) => void = () => {},
  ) {
    this.checks = new Counter({
      name: 'cactusstair_invariant_checks_total',
      help: 'Evaluations of an invariant.',
      labelNames: ['invariant'],
      registers: [registry],
    });
    this.violations = new Counter({
      name: 'cactusstair_invariant_violations_total',
      help: 'Violations of an invariant.',
      labelNames: ['invariant'],
      registers: [registry],
    });
  }

  /** Records one evaluation; `detail` is computed only for a violation. */
  check(name: string, holds: boolean, detail: () => string): void {
    this.checks.inc({ invariant: name });
    if (holds) return;
    this.violations.inc({ invariant: name });
    const text = detail();
    this.onViolation(name, text);
    if (this.fatal) throw new Error(`invariant ${name} is violated: ${text}`);
  }
}
