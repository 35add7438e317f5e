import {
  chooseReplacement,
  chooseStartSize,
  completePrices,
  computeAcceptConfidence,
  computeRunPrice,
  createRunEstimate,
  estimateAnswerValue,
} from '@cactusstair/routing';
import type { RunEstimate, SizeChoice, SizeChoiceRequest, SizeOption } from '@cactusstair/routing';

import type { Attempt } from './attempt.js';
import type { RelayContext } from './relayContext.js';
import type { RelayJob } from './relayJob.js';
import { estimateEvents, estimatePace, estimateUpstreamRun } from './runEstimate.js';
import { estimateOutputTokens, estimatePressure, estimateTimeFactor } from './sizePolicy.js';
import { createChooser, estimateWorkMs, listAcceptingUpstreams } from './upstreamChoice.js';

/** A size with the estimate of a run of it that starts now. */
interface EstimatedSize {
  option: SizeOption;
  estimate: RunEstimate;
}

const NO_EXCLUDED: ReadonlySet<string> = new Set();

/** Whether the configuration lists the model among those of the engines, or lists none. */
function isServed(job: RelayJob, model: string): boolean {
  const models = job.engine?.priceByModel ?? {};
  return model in models || Object.keys(models).length === 0;
}

/** Chooses the model size of a request and logs what was expected of each. */
export class SizeDecision {
  private readonly prices: readonly number[];

  private readonly value: number;

  constructor(
    private readonly context: RelayContext,
    private readonly job: RelayJob,
    private readonly models: readonly string[],
  ) {
    const { request, engine } = job;
    const factors = models.map((_, index) => estimateTimeFactor(index, models.length));
    this.prices = completePrices(
      models.map((model) => engine?.priceByModel[model]),
      factors,
    );
    this.value = estimateAnswerValue(this.prices.at(-1)!, {
      prompt: request.promptTokens,
      uncachedPrompt: request.promptTokens,
      output: estimateOutputTokens(request),
    });
  }

  /** Chooses the size to start with. */
  chooseStart(excluded: ReadonlySet<string>, canEscalate: boolean): number {
    const choose = createChooser(this.context, this.job, excluded);
    const sizes = this.models.map((_, index) => this.estimateSize(index, choose));
    const request = this.createRequest(sizes, canEscalate);
    const choice = chooseStartSize(request);
    this.record(choice, request, sizes);
    return choice.sizeIndex;
  }

  /**
   * Chooses the size whose answer replaces the one at hand: the largest below the threshold of the
   * confidence, unless it cannot be complete in time and the answer at hand can. By expected value
   * alone, the largest requests kept answers of the smallest size too often on calm days.
   *
   * @param tryReserve reserves the run that the replacement needs
   * @returns undefined to keep the answer
   */
  chooseReplacement(
    attempt: Attempt,
    sizeIndex: number,
    confidence: number,
    tryReserve: () => boolean,
  ): number | undefined {
    const choose = createChooser(this.context, this.job, NO_EXCLUDED);
    const sizes = this.models.map((_, index) =>
      index > sizeIndex ? this.estimateSize(index, choose) : undefined,
    );
    const request = this.createRequest(sizes, true);
    const rest = this.estimateRest(attempt, sizeIndex);
    const { values } = chooseReplacement(request, { sizeIndex, confidence, chances: rest });
    const largest = this.models.length - 1;
    const estimate = sizes[largest]?.estimate;
    if (!estimate || values[largest] === undefined) return undefined;
    if (confidence >= this.computeThreshold(request.pressure, estimate)) return undefined;
    if (!tryReserve()) return undefined;
    this.record({ sizeIndex: largest, values }, request, sizes);
    return largest;
  }

  private computeThreshold(pressure: number, { firstEventMs }: RunEstimate): number {
    const { exchange, request } = this.job;
    const isLate = exchange.elapsedMs + firstEventMs > exchange.route!.latencyGoalMs;
    const { promptTokens } = request;
    const tokens = { promptTokens, outputTokens: estimateOutputTokens(request) };
    return computeAcceptConfidence(tokens, pressure, isLate);
  }

  private estimateSize(
    sizeIndex: number,
    choose: ReturnType<typeof createChooser>,
  ): EstimatedSize | undefined {
    const { context, job } = this;
    if (!isServed(job, this.models[sizeIndex]!)) return undefined;
    const selection = choose(sizeIndex);
    if (!selection) return undefined;
    const estimate = estimateUpstreamRun(context, job, sizeIndex, selection);
    const price = computeRunPrice(this.prices[sizeIndex]!, {
      prompt: job.request.promptTokens,
      uncachedPrompt: job.engine ? selection.uncachedTokens : job.request.promptTokens,
      output: estimateOutputTokens(job.request),
    });
    const option: SizeOption = {
      price,
      workMs: estimateWorkMs(job, sizeIndex),
      promptMs: job.engine ? selection.backlogMs : 0,
      firstEventMs: estimate.firstEventMs,
      computeChances: estimate.computeChances,
    };
    return { option, estimate };
  }

  /** Estimates the rest of a run whose first event is about to come. */
  private estimateRest({ fullness }: Attempt, sizeIndex: number): RunEstimate {
    const { context, job } = this;
    const { exchange } = job;
    const pace = estimatePace(context, job, sizeIndex, fullness);
    return createRunEstimate({
      firstEvent: pace,
      pace,
      events: estimateEvents(context, job),
      goalLeftMs: exchange.route!.latencyGoalMs - exchange.elapsedMs,
      deadlineLeftMs: exchange.timeLeftMs,
    });
  }

  private createRequest(
    sizes: readonly (EstimatedSize | undefined)[],
    canEscalate: boolean,
  ): SizeChoiceRequest {
    const { context, job } = this;
    const { latencyGoalMs } = job.exchange.route!;
    return {
      sizes: sizes.map((size) => size?.option),
      value: this.value,
      pressure: estimatePressure(listAcceptingUpstreams(context, job.service), latencyGoalMs),
      averageWorkMs: context.engines.get(job.service).work.averageMs ?? 0,
      latencyGoalMs,
      canEscalate,
    };
  }

  private record(
    { sizeIndex, values }: SizeChoice,
    { pressure }: SizeChoiceRequest,
    sizes: readonly (EstimatedSize | undefined)[],
  ): void {
    const { exchange } = this.job;
    const model = this.models[sizeIndex]!;
    exchange.addStep('size_chosen', {
      model,
      pressure: Math.round(pressure * 100) / 100,
      expected: this.models.map((name, index) =>
        formatSize(name, sizes[index]?.estimate, values[index], this.value),
      ),
    });
    const estimate = sizes[sizeIndex]?.estimate;
    exchange.expectation = {
      model,
      ...(estimate
        ? {
            completionMs: exchange.elapsedMs + estimate.completionMs,
            highCompletionMs: exchange.elapsedMs + estimate.highCompletionMs,
          }
        : {}),
    };
  }
}

/**
 * Formats what is expected of a size: first event and completion (ms), chances of the goal and the
 * deadline, and its value relative to a good answer in time.
 */
function formatSize(
  model: string,
  estimate: RunEstimate | undefined,
  value: number | undefined,
  fullValue: number,
): string {
  const worth = value === undefined ? '-' : (value / fullValue).toFixed(2);
  if (!estimate) return `${model} - ${worth}`;
  const { firstEventMs, completionMs, goalChance, deadlineChance } = estimate;
  const times = `${Math.round(firstEventMs)}/${Math.round(completionMs)}`;
  return `${model} ${times} ${goalChance.toFixed(2)}/${deadlineChance.toFixed(2)} ${worth}`;
}
