import type { Random } from '@cactusstair/utils';
import { createRandom } from '@cactusstair/utils';
import type { FastifyReply, FastifyRequest } from 'fastify';

import { AnswerSwapper } from './answerSwapper.js';
import type { EngineFaultTable } from './engineAdmission.js';
import { findRefusal } from './engineAdmission.js';
import { TokenGenerator } from './tokenGenerator.js';
import { BatchScheduler } from './batchScheduler.js';
import type { EngineOptions, EngineSettings } from './engineOptions.js';
import { engineFaults, engineOptionsSchema } from './engineOptions.js';
import type { EngineRequest } from './engineRequest.js';
import { parseEngineRequest } from './engineRequest.js';
import { EngineResponder } from './engineResponder.js';
import type { EngineJournalEntry } from './engineRun.js';
import { EngineRun } from './engineRun.js';
import { FaultTable } from './faultTable.js';
import { HttpStandin, isControlRequest } from './httpStandin.js';
import { LaggingReport } from './laggingReport.js';
import { LeavingState } from './leavingState.js';
import { addNoticeHeaders } from './noticeFaults.js';
import { ModelLoader, orderSchema } from './modelLoader.js';
import { PrefixCache } from './prefixCache.js';

const DEFAULT_MEAN_QUALITY = 0.8;

/** A model engine with continuous batching, a prefix cache, streaming, orders and faults. */
export class EngineStandin extends HttpStandin {
  readonly faults: EngineFaultTable = new FaultTable(engineFaults);

  /** Every request received since the process started, including those before a crash. */
  readonly journal: EngineJournalEntry[] = [];

  private readonly settings: EngineSettings;

  private readonly random: Random;

  private readonly loader: ModelLoader;

  private readonly cache: PrefixCache;

  private readonly responder: EngineResponder;

  private readonly swapper = new AnswerSwapper();

  private readonly loadReport: LaggingReport<object>;

  private readonly runs = new Set<EngineRun>();

  private scheduler: BatchScheduler;

  private incarnation = 1;

  private readonly leaving = new LeavingState(() => this.faults.get('leaving') !== undefined);

  private generatedIds = 0;

  constructor(options: EngineOptions = {}) {
    const settings = engineOptionsSchema.parse(options);
    super(settings);
    this.settings = settings;
    this.random = createRandom(settings.seed);
    this.loader = new ModelLoader(settings);
    this.scheduler = new BatchScheduler(settings);
    this.cache = new PrefixCache(
      {
        capacityBlocks: settings.cacheBlocks,
        blockChars: settings.blockChars,
        eventLagMs: settings.cacheEventLagMs,
        eventLoss: settings.cacheEventLoss,
      },
      this.random,
    );
    const generator = new TokenGenerator(settings, this.faults, this.cache, (downMs) =>
      this.startCrash(downMs),
    );
    this.responder = new EngineResponder(generator, this.faults, this.random);
    this.loadReport = new LaggingReport(settings.loadLagMs, () => this.createLoadReport());
    this.faults.setHandlers({
      crash: ({ downMs }) => this.startCrash(downMs),
      silence: () => this.silenceConnections(),
      leaving: () => this.leaving.start(),
    });
    this.addHooks();
    this.addCompletionRoutes();
    this.addReportRoutes();
  }

  protected override beforeClose(): void {
    this.leaving.startClosing();
    this.loadReport.close();
  }

  private addHooks(): void {
    this.app.addHook('onRequest', async (request, reply) => {
      if (isControlRequest(request)) return;
      if (this.faults.get('freeze')) {
        reply.hijack();
        return;
      }
      for (const name of ['x-request-id', 'x-attempt']) {
        const value = request.headers[name];
        if (value !== undefined) reply.header(name, value);
      }
      if (this.leaving.sinceMs !== undefined) reply.header('x-upstream-leaving', 'true');
      addNoticeHeaders(reply, {
        limit: this.faults.get('limit'),
        pause: this.faults.get('pause'),
      });
    });
  }

  private addCompletionRoutes(): void {
    this.app.post('/v1/chat/completions', (request, reply) => this.complete(request, reply));
    this.app.post<{ Body: { requestId: string; attempt?: string } }>('/v1/cancel', (request) => {
      const { requestId, attempt } = request.body;
      const found = [...this.runs].filter(
        (run) =>
          run.request.requestId === requestId &&
          (attempt === undefined || run.request.attempt === String(attempt)),
      );
      for (const run of found) run.stop('cancelled');
      return { cancelled: found.length };
    });
    this.app.post('/orders', (request, reply) => {
      const order = orderSchema.safeParse(request.body);
      if (!order.success) return reply.code(400).send({ error: order.error.message });
      const accepted = this.loader.apply(order.data);
      const { highestFencing } = this.loader;
      return reply.code(accepted ? 202 : 409).send({ accepted, highestFencing });
    });
  }

  private addReportRoutes(): void {
    this.faults.register(this.app);
    this.app.get('/load', () => this.loadReport.get());
    this.app.get<{ Querystring: { from?: string } }>('/cache-events', (request) => ({
      incarnation: this.incarnation,
      events: this.cache.getEventsAfter(Number(request.query.from ?? 0)),
    }));
    this.app.get('/state', () => ({
      name: this.settings.name,
      zone: this.settings.zone,
      incarnation: this.incarnation,
      ...this.loader.getState(),
      leaving: this.leaving.sinceMs !== undefined,
      active: this.scheduler.active,
      queued: this.scheduler.queued,
      cachedBlocks: this.cache.size,
    }));
    this.app.get('/journal', () => ({
      name: this.settings.name,
      leavingSinceMs: this.leaving.sinceMs,
      requests: this.journal,
      orders: this.loader.entries,
    }));
  }

  private createLoadReport() {
    return {
      name: this.settings.name,
      incarnation: this.incarnation,
      slots: this.settings.slots,
      active: this.scheduler.active,
      queued: this.scheduler.queued,
      leaving: this.leaving.sinceMs !== undefined,
      role: this.loader.role,
      versions: [...this.loader.getLoaded()],
      cacheEvents: this.cache.lastSequence,
    };
  }

  private async complete(httpRequest: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    let request: EngineRequest;
    try {
      request = parseEngineRequest(
        httpRequest.body,
        httpRequest.headers,
        this.settings.defaultTokens,
        () => this.createRequestId(),
      );
    } catch (error) {
      const { message } = error as Error;
      return reply.code(400).send({ error: { type: 'invalid_request', message, ran: 'no' } });
    }
    const run = this.createRun(request);
    const refusal = findRefusal(request, {
      faults: this.faults,
      loader: this.loader,
      scheduler: this.scheduler,
      random: this.random,
      leavingSinceMs: this.leaving.sinceMs,
    });
    if (refusal) {
      const { status, type, message } = refusal;
      run.finish('refused', type);
      return reply.code(status).send({ error: { type, message, ran: 'no' } });
    }
    return this.runAdmitted(run, reply);
  }

  private async runAdmitted(run: EngineRun, reply: FastifyReply): Promise<unknown> {
    this.runs.add(run);
    const { scheduler } = this;
    reply.raw.on('close', () => {
      if (!reply.raw.writableFinished) run.stop('disconnected');
    });
    try {
      const hasSlot = await scheduler.acquire(run.request.priority, run.signal);
      if (!hasSlot) return this.responder.answerStopped(run, reply);
      try {
        return await this.generate(run, reply, scheduler);
      } finally {
        scheduler.release();
      }
    } finally {
      this.runs.delete(run);
    }
  }

  private async generate(
    run: EngineRun,
    reply: FastifyReply,
    scheduler: BatchScheduler,
  ): Promise<unknown> {
    const swap = this.faults.get('swapAnswers');
    if (swap) {
      const identity = await this.swapper.exchange(run.identity, swap.waitMs);
      if (identity !== run.identity) this.faults.take('swapAnswers');
      run.identity = identity;
    }
    reply
      .header('x-request-id', run.identity.requestId)
      .header('x-attempt', run.identity.attempt)
      .header('x-model', run.request.model)
      .header('x-version', run.version);
    run.entry.startedAtMs = Date.now();
    return run.request.stream
      ? this.responder.answerStream(run, reply, scheduler)
      : this.responder.answerJson(run, reply, scheduler);
  }

  private createRun(request: EngineRequest): EngineRun {
    const version = this.loader.find(request.model, request.version)?.version;
    const shownVersion = version ?? request.version ?? '';
    const entry: EngineJournalEntry = {
      requestId: request.requestId,
      attempt: request.attempt,
      model: request.model,
      version: shownVersion,
      receivedAtMs: Date.now(),
      outcome: 'running',
      tokens: 0,
      resumeFrom: request.resumeFrom,
      receivedWhileLeaving: this.leaving.sinceMs !== undefined,
    };
    this.journal.push(entry);
    return new EngineRun(
      request,
      shownVersion,
      this.getMeanQuality(request.model, shownVersion),
      entry,
    );
  }

  private getMeanQuality(model: string, version: string): number {
    const mean = this.settings.quality[`${model}@${version}`] ?? DEFAULT_MEAN_QUALITY;
    const drop = this.faults.get('qualityDrop');
    return drop && drop.model === model && drop.version === version ? mean - drop.drop : mean;
  }

  private createRequestId(): string {
    this.generatedIds += 1;
    return `${this.settings.name}-${this.incarnation}-${this.generatedIds}`;
  }

  private startCrash(downMs: number): void {
    for (const run of this.runs) run.stop('crashed');
    const crashed = this.crash(downMs, () => {
      this.incarnation += 1;
      this.faults.clear('leaving');
      this.loader.reset();
      this.cache.clear();
      this.scheduler = new BatchScheduler(this.settings);
    });
    crashed.catch(() => {});
  }
}
