import type { Deployment } from './sizeWorld.js';

/** One run of a request at an engine. */
export interface EngineRun {
  sizeIndex: number;
  /** Prompt work left, in milliseconds of an engine of nominal speed. */
  promptMs: number;
  promptTokens: number;
  outputTokens: number;
  generated: number;
  startedMs: number;
  /** Expected wait for the first event when the run was started. */
  expectedMs: number;
  firstAtMs: number | undefined;
  /** Whether the time between its events was measured. */
  hasPace: boolean;
}

/** Share of a step that goes to prompts while any wait. */
const PROMPT_SHARE = 0.7;

/** An engine that reads prompts one after the other and generates tokens in batches. */
export class SimulatedEngine {
  readonly runs = new Set<EngineRun>();

  /** Mean logarithm of waits relative to the expected ones, as the relay keeps it. */
  waitRatioLog = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly slowness: number,
  ) {}

  get hasRoom(): boolean {
    return this.runs.size < this.deployment.slots;
  }

  get slowdown(): number {
    return Math.exp(this.waitRatioLog);
  }

  get promptQueueMs(): number {
    let sum = 0;
    for (const run of this.runs) sum += run.promptMs;
    return sum;
  }

  /** Lets time pass and returns the runs that are complete. */
  advance(nowMs: number, stepMs: number): EngineRun[] {
    const { deployment } = this;
    let promptLeftMs = 0;
    const waiting = [...this.runs].filter(({ promptMs }) => promptMs > 0);
    if (waiting.length > 0) promptLeftMs = (stepMs * PROMPT_SHARE) / this.slowness;
    const tokenShare = waiting.length > 0 ? 1 - PROMPT_SHARE : 1;
    // The shortest prompt first, as the relay's urgency asks for.
    waiting.sort((a, b) => a.promptMs - b.promptMs);
    for (const run of waiting) {
      const readMs = Math.min(promptLeftMs, run.promptMs);
      run.promptMs -= readMs;
      promptLeftMs -= readMs;
    }
    const active = [...this.runs].filter(({ promptMs }) => promptMs <= 0);
    const tokenMs = (deployment.stepMs + deployment.stepMsPerSlot * active.length) * this.slowness;
    const ended: EngineRun[] = [];
    for (const run of active) {
      const { timeFactor } = deployment.sizes[run.sizeIndex]!;
      run.generated += (stepMs * tokenShare) / (tokenMs * timeFactor);
      const firstTokens = Math.min(run.outputTokens, deployment.eventTokens);
      if (run.firstAtMs === undefined && run.generated >= firstTokens) run.firstAtMs = nowMs;
      if (run.generated >= run.outputTokens) ended.push(run);
    }
    return ended;
  }
}
