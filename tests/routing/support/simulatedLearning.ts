import {
  estimateNominalMs,
  PrefillEstimator,
  RunTimeEstimator,
  WorkAverage,
} from '@cactusstair/routing';

import type { EngineRun } from './simulatedEngine.js';
import type { Deployment, SimulatedRequest } from './sizeWorld.js';

const PRIOR_TOKEN_MS = 5;

/** What a simulated fleet learns about its engines, in the way of the relay. */
export class SimulatedLearning {
  readonly prefill = new PrefillEstimator();

  readonly work = new WorkAverage();

  readonly runTimes: RunTimeEstimator;

  constructor(
    private readonly deployment: Deployment,
    private readonly getNowMs: () => number,
  ) {
    this.runTimes = new RunTimeEstimator(getNowMs);
  }

  estimateStream(request: SimulatedRequest, sizeIndex: number, fullness: number) {
    const { eventTokens, sizes } = this.deployment;
    const { kind, arrivedMs, hintTokens } = request;
    const factor = (index: number) => this.getTimeFactor(index);
    const known = sizes.findIndex(
      (_, index) => index !== sizeIndex && this.runTimes.hasPace(`${index}`),
    );
    const nominalMs = PRIOR_TOKEN_MS * eventTokens;
    const priorMs =
      known < 0
        ? nominalMs * factor(sizeIndex)
        : (this.runTimes.getPace(`${known}`, fullness, nominalMs).median * factor(sizeIndex)) /
          factor(known);
    const length = this.runTimes.getLengthRatio(kind.name);
    const events = Math.max(0, (hintTokens * length.median) / eventTokens - 1);
    return {
      pace: this.runTimes.getPace(`${sizeIndex}`, fullness, priorMs),
      events: { median: events, deviation: length.deviation },
      goalLeftMs: kind.goalMs - (this.getNowMs() - arrivedMs),
      deadlineLeftMs: kind.deadlineMs - (this.getNowMs() - arrivedMs),
    };
  }

  estimatePromptMs(request: SimulatedRequest, sizeIndex: number): number {
    const nominalMs = this.estimateNominal(request, sizeIndex, request.uncachedTokens);
    return this.prefill.estimateMs(`${sizeIndex}`, nominalMs);
  }

  estimateWorkMs(request: SimulatedRequest, sizeIndex: number): number {
    return this.estimateNominal(request, sizeIndex, request.promptTokens);
  }

  /** Measures a stream once, while it runs if it is long, as the relay does. */
  learnPace(run: EngineRun, running: number): void {
    const { eventTokens, slots } = this.deployment;
    const events = run.generated / eventTokens - 1;
    if (run.hasPace || events < 1) return;
    run.hasPace = true;
    const paceMs = (this.getNowMs() - run.firstAtMs!) / events;
    this.runTimes.recordPace(`${run.sizeIndex}`, running / slots, paceMs);
  }

  learnLength(request: SimulatedRequest, run: EngineRun): void {
    const ratio = Math.max(1, run.generated) / Math.max(1, request.hintTokens);
    const { median } = this.runTimes.getLengthRatio(request.kind.name);
    const isComplete = run.generated >= run.outputTokens;
    if (isComplete || ratio > median) this.runTimes.recordLength(request.kind.name, ratio);
  }

  estimateNominal(request: SimulatedRequest, sizeIndex: number, tokens: number): number {
    return estimateNominalMs(tokens, request.promptTokens, this.getTimeFactor(sizeIndex));
  }

  /** The prior of the relay for the speed of a size, from its position only. */
  private getTimeFactor(sizeIndex: number): number {
    const { length } = this.deployment.sizes;
    return length <= 1 ? 1 : 0.3 * 10 ** (sizeIndex / (length - 1));
  }
}
