import { createRunEstimate } from '@cactusstair/routing';
import type { RunEstimate } from '@cactusstair/routing';
import { createRandom } from '@cactusstair/utils';

import { SimulatedEngine } from './simulatedEngine.js';
import type { EngineRun } from './simulatedEngine.js';
import { SimulatedLearning } from './simulatedLearning.js';
import type { Calibration, Deployment, SimulatedRequest } from './sizeWorld.js';
import { drawRequest } from './sizeWorld.js';

/** What a rule sees of the engines and of one request. */
export interface RuleView {
  deployment: Deployment;
  request: SimulatedRequest;
  nowMs: number;
  pressure: number;
  averageWorkMs: number;
  /** Undefined when no engine has room or none runs the size. */
  estimateSize: (sizeIndex: number) => RunEstimate | undefined;
  estimateWorkMs: (sizeIndex: number) => number;
  /** Expected time in which an average engine reads the prompt. */
  estimatePromptMs: (sizeIndex: number) => number;
}

/** Chooses sizes of simulated requests. */
export interface SizeRule {
  name: string;
  start: (view: RuleView) => number;
  /** Returns the size that replaces an answer at hand, or undefined to keep it. */
  review: (
    view: RuleView,
    sizeIndex: number,
    confidence: number,
    rest: RunEstimate,
  ) => number | undefined;
}

/** Options of `simulateSizes`. */
export interface SimulationOptions {
  deployment: Deployment;
  rule: SizeRule;
  requestsPerSecond: number;
  seed: number;
  calibration: Calibration;
  /** Share of the engines that take 2.5 times as long. */
  slowShare?: number;
}

/** Outcome of a simulation, as shares of the value of all requests. */
export interface SimulationResult {
  /** Value of the answers, before the prices of models. */
  earned: number;
  /** Price of the models, dropped runs included. */
  cost: number;
  /** Value of the answers in time as a share of what good ones were worth. */
  adequacy: number;
  /** Share of the requests that were answered in time. */
  inTime: number;
  /** Requests whose answer was cut off at its deadline, per thousand. */
  cutOff: number;
}

interface OpenRequest {
  request: SimulatedRequest;
  run: EngineRun | undefined;
  engine: SimulatedEngine | undefined;
  sizeIndex: number;
  isReviewed: boolean;
  runs: number;
  waitsUntilMs: number;
}

const STEP_MS = 10;
const DURATION_MS = 40_000;
/** Requests that arrive before this time are not counted, while the rules learn. */
const WARMUP_MS = 8000;
const SLOWNESS = 2.5;
const ROOM_TIMEOUT_GOALS = 0.12;
const POOR_SHARE = 0.05;
const MIN_WAIT_MS = 50;
/** Weight of the newest wait in what is known of one engine. */
const WAIT_WEIGHT = 0.1;
/** Time after the first event at which the pace of a long stream is measured. */
const PACE_AFTER_MS = 1000;
// The bounds of `estimatePressure` of the relay.
const PRESSURE_GOALS = [0.1, 0.6] as const;
const PRESSURE_RUNNING = [0.35, 0.8] as const;

function normalize(value: number, [low, high]: readonly [number, number]): number {
  return Math.min(1, Math.max(0, (value - low) / (high - low)));
}

/** Plays requests to simulated engines; learns and chooses engines as the relay does. */
class SizeSimulation {
  private nowMs = 0;

  private readonly engines: SimulatedEngine[];

  private readonly learning: SimulatedLearning;

  private readonly open = new Set<OpenRequest>();

  private readonly totals = { value: 0, earned: 0, cost: 0, timely: 0, good: 0, count: 0, cut: 0 };

  constructor(private readonly options: SimulationOptions) {
    const { deployment, slowShare = 0 } = options;
    this.learning = new SimulatedLearning(deployment, () => this.nowMs);
    this.engines = Array.from({ length: deployment.engines }, (_, index) => {
      const isSlow = index < Math.round(slowShare * deployment.engines);
      return new SimulatedEngine(deployment, isSlow ? SLOWNESS : 1);
    });
  }

  run(): SimulationResult {
    const { deployment, requestsPerSecond, seed, calibration } = this.options;
    const random = createRandom(seed);
    let nextMs = 0;
    while (this.nowMs < DURATION_MS) {
      this.nowMs += STEP_MS;
      while (nextMs <= this.nowMs) {
        this.admit(drawRequest(random, deployment, nextMs, calibration));
        nextMs += (-Math.log(1 - random.next()) * 1000) / requestsPerSecond;
      }
      this.advance();
    }
    const { value, earned, cost, timely, good, count, cut } = this.totals;
    return {
      earned: earned / value,
      cost: cost / value,
      adequacy: good / Math.max(1e-9, timely),
      inTime: timely / value,
      cutOff: (1000 * cut) / count,
    };
  }

  private admit(request: SimulatedRequest): void {
    const waitsUntilMs = request.arrivedMs + ROOM_TIMEOUT_GOALS * request.kind.goalMs;
    const open: OpenRequest = {
      request,
      run: undefined,
      engine: undefined,
      sizeIndex: 0,
      isReviewed: false,
      runs: 0,
      waitsUntilMs,
    };
    this.open.add(open);
    if (request.arrivedMs >= WARMUP_MS) {
      this.totals.value += request.kind.value;
      this.totals.count += 1;
    }
    open.sizeIndex = this.options.rule.start(this.createView(request));
  }

  private advance(): void {
    const ended = new Set<EngineRun>();
    for (const engine of this.engines) {
      for (const run of engine.advance(this.nowMs, STEP_MS)) ended.add(run);
    }
    for (const open of [...this.open]) {
      const { run, request } = open;
      const isOver = this.nowMs >= request.arrivedMs + request.kind.deadlineMs;
      if (!run) this.tryStart(open);
      else if (ended.has(run)) this.complete(open, run);
      else if (isOver) {
        if (request.arrivedMs >= WARMUP_MS) this.totals.cut += 1;
        this.learning.learnLength(request, run);
        this.release(open);
        this.open.delete(open);
      } else if (run.firstAtMs !== undefined && !open.isReviewed) this.review(open, run);
      else if (this.nowMs - (run.firstAtMs ?? Infinity) >= PACE_AFTER_MS)
        this.learning.learnPace(run, open.engine!.runs.size);
    }
  }

  private tryStart(open: OpenRequest): void {
    const { request, sizeIndex } = open;
    const engine = this.findEngine(request, sizeIndex);
    if (!engine) {
      if (this.nowMs >= open.waitsUntilMs) this.open.delete(open);
      return;
    }
    const promptMs = this.computePromptMs(request, sizeIndex);
    const expectedMs = this.estimateWaitMs(engine, request, sizeIndex);
    open.run = {
      sizeIndex,
      promptMs,
      promptTokens: request.uncachedTokens,
      outputTokens: request.outputTokens,
      generated: 0,
      startedMs: this.nowMs,
      expectedMs,
      firstAtMs: undefined,
      hasPace: false,
    };
    open.engine = engine;
    open.isReviewed = false;
    open.runs += 1;
    engine.runs.add(open.run);
    this.learning.work.record(this.learning.estimateWorkMs(request, sizeIndex));
  }

  private review(open: OpenRequest, run: EngineRun): void {
    const { request, sizeIndex } = open;
    open.isReviewed = true;
    this.learnWait(open, run);
    if (open.runs > 1) return;
    const rest = this.estimateRest(open, run);
    const view = this.createView(request);
    const larger = this.options.rule.review(view, sizeIndex, request.confidence[sizeIndex]!, rest);
    if (larger === undefined || larger === sizeIndex) return;
    this.release(open);
    open.sizeIndex = larger;
    open.waitsUntilMs = this.nowMs + ROOM_TIMEOUT_GOALS * request.kind.goalMs;
  }

  private complete(open: OpenRequest, run: EngineRun): void {
    const { request, sizeIndex } = open;
    if (!open.isReviewed) this.learnWait(open, run);
    this.learning.learnLength(request, run);
    this.learning.learnPace(run, open.engine!.runs.size);
    this.release(open);
    this.open.delete(open);
    if (request.arrivedMs < WARMUP_MS) return;
    const { kind } = request;
    const isTimely = run.firstAtMs! - request.arrivedMs <= kind.goalMs;
    const share = request.isGood[sizeIndex] ? 1 : POOR_SHARE;
    this.totals.earned += share * (isTimely ? kind.value : kind.lateValue);
    if (!isTimely) return;
    this.totals.timely += kind.value;
    this.totals.good += share * kind.value;
  }

  /** Ends the run of a request and charges what it has read and generated. */
  private release(open: OpenRequest): void {
    const { run, engine, request } = open;
    if (!run || !engine) return;
    engine.runs.delete(run);
    open.run = undefined;
    if (request.arrivedMs < WARMUP_MS) return;
    const { price } = this.options.deployment.sizes[run.sizeIndex]!;
    const read = run.promptMs > 0 ? 0 : run.promptTokens;
    this.totals.cost += (price * (read / 4 + Math.min(run.generated, run.outputTokens))) / 1000;
  }

  private learnWait(open: OpenRequest, run: EngineRun): void {
    const { request, sizeIndex, engine } = open;
    const waitMs = run.firstAtMs! - run.startedMs;
    const ratio = (waitMs + MIN_WAIT_MS) / (run.expectedMs + MIN_WAIT_MS);
    this.learning.runTimes.recordWait(ratio);
    engine!.waitRatioLog += WAIT_WEIGHT * (Math.log(ratio) - engine!.waitRatioLog);
    const nominalMs = this.learning.estimateNominal(request, sizeIndex, request.uncachedTokens);
    const ownMs = this.learning.prefill.estimateMs(`${sizeIndex}`, nominalMs) * engine!.slowdown;
    const backlogMs = Math.max(0, run.expectedMs - ownMs);
    this.learning.prefill.record({ model: `${sizeIndex}`, nominalMs, backlogMs, waitMs });
  }

  private createView(request: SimulatedRequest): RuleView {
    const { deployment } = this.options;
    const usable = this.engines;
    const backlogMs = usable.reduce((sum, engine) => sum + engine.promptQueueMs, 0) / usable.length;
    const running = usable.reduce((sum, { runs }) => sum + runs.size, 0) / usable.length;
    return {
      deployment,
      request,
      nowMs: this.nowMs,
      pressure: Math.max(
        normalize(backlogMs / request.kind.goalMs, PRESSURE_GOALS),
        normalize(running / deployment.slots, PRESSURE_RUNNING),
      ),
      averageWorkMs: this.learning.work.averageMs ?? 0,
      estimateSize: (sizeIndex) => this.estimateSize(request, sizeIndex),
      estimateWorkMs: (sizeIndex) => this.learning.estimateWorkMs(request, sizeIndex),
      estimatePromptMs: (sizeIndex) => this.learning.estimatePromptMs(request, sizeIndex),
    };
  }

  private estimateSize(request: SimulatedRequest, sizeIndex: number): RunEstimate | undefined {
    const { sizes, slots } = this.options.deployment;
    if (sizes[sizeIndex]!.isServed === false) return undefined;
    const engine = this.findEngine(request, sizeIndex);
    if (!engine) return undefined;
    const ratio = this.learning.runTimes.getWaitRatio();
    const waitMs = this.estimateWaitMs(engine, request, sizeIndex);
    const fullness = (engine.runs.size + 1) / slots;
    return createRunEstimate({
      firstEvent: { median: ratio.median * (waitMs + MIN_WAIT_MS), deviation: ratio.deviation },
      ...this.learning.estimateStream(request, sizeIndex, fullness),
    });
  }

  private estimateRest({ request, engine }: OpenRequest, run: EngineRun): RunEstimate {
    const fullness = engine!.runs.size / this.options.deployment.slots;
    const stream = this.learning.estimateStream(request, run.sizeIndex, fullness);
    return createRunEstimate({ firstEvent: stream.pace, ...stream, goalLeftMs: Infinity });
  }

  private findEngine(request: SimulatedRequest, sizeIndex: number): SimulatedEngine | undefined {
    let best: SimulatedEngine | undefined;
    let bestMs = Infinity;
    for (const engine of this.engines) {
      if (!engine.hasRoom) continue;
      const costMs = this.estimateWaitMs(engine, request, sizeIndex) + 4 * engine.runs.size;
      if (costMs < bestMs) {
        bestMs = costMs;
        best = engine;
      }
    }
    return best;
  }

  private estimateWaitMs(
    engine: SimulatedEngine,
    request: SimulatedRequest,
    sizeIndex: number,
  ): number {
    return (
      (engine.promptQueueMs + this.learning.estimatePromptMs(request, sizeIndex)) * engine.slowdown
    );
  }

  private computePromptMs(request: SimulatedRequest, sizeIndex: number): number {
    const { promptTokensPerMs, sizes } = this.options.deployment;
    return (request.uncachedTokens / promptTokensPerMs) * sizes[sizeIndex]!.timeFactor;
  }
}

/** Simulates one rule at one load. */
export function simulateSizes(options: SimulationOptions): SimulationResult {
  return new SizeSimulation(options).run();
}
