import type { Random } from '@cactusstair/utils';
import { createRandom, systemClock } from '@cactusstair/utils';
import { fetch } from 'undici';

import type { CallPlan, CallSender, CallTarget } from './callSender.js';
import { CRASH_MARKER } from './soakCluster.js';

/** An entry instance behind the simulated load balancer. */
export interface BalancedEntry extends CallTarget {
  /** Base URL of the readiness endpoint. */
  metrics: string;
}

/** Options of `LoadDriver`. */
export interface LoadDriverOptions {
  seed: number;
  entries: readonly BalancedEntry[];
  sender: CallSender;
  /** Arrivals per second, not counting repeats. */
  ratePerSecond: number;
}

const READINESS_INTERVAL_MS = 200;
const READINESS_TIMEOUT_MS = 1000;
const SESSIONS = 12;
const SHORT_TOKENS = 24;
const LONG_TOKENS = 260;
const LATER_REPEAT_MS = 3000;
const MARKER_ATTEMPTS = 7;
const MARKER_INTERVAL_MS = 1200;
const SESSION_ENDED = 1106;
const SESSION_LENGTH = 12;

const explicitModels: Record<string, string[]> = {
  ladders: ['small', 'small@1', 'small@2', 'small@3', 'medium', 'large@1'],
  decals: ['small', 'small@2', 'medium', 'large'],
};

/** A session with sequential requests, each to any instance. */
interface Conversation {
  number: number;
  model: string;
  token: string | undefined;
  sent: number;
  busy: boolean;
}

/**
 * Sends the mixed load as an open loop. Like the load balancer of the platform, it sends requests
 * to ready instances only. Repeats may go to any instance.
 */
export class LoadDriver {
  private readonly random: Random;

  private readonly ready = new Set<string>();

  private readonly inFlight = new Set<Promise<unknown>>();

  private readonly conversations: Conversation[] = [];

  private conversationCount = 0;

  private requestCount = 0;

  private readonly kinds: [weight: number, send: () => Promise<unknown>][] = [
    [5, () => this.sendChat()],
    [3, () => this.sendCascade()],
    [6, () => this.sendSession()],
    [1, () => this.sendRepeatedId()],
    [2, () => this.sendServiceRead()],
    [4, () => this.sendServiceCall()],
  ];

  constructor(private readonly options: LoadDriverOptions) {
    this.random = createRandom(options.seed);
  }

  /** Sends requests until `signal` aborts, then waits until all of them have ended. */
  async run(signal: AbortSignal): Promise<void> {
    const balancing = this.pollReadiness(signal);
    const totalWeight = this.kinds.reduce((sum, [weight]) => sum + weight, 0);
    while (!signal.aborted) {
      let point = this.random.next() * totalWeight;
      const kind = this.kinds.find(([weight]) => {
        point -= weight;
        return point < 0;
      });
      this.track(kind?.[1]() ?? Promise.resolve());
      const pauseMs = (-Math.log(1 - this.random.next()) * 1000) / this.options.ratePerSecond;
      await systemClock.sleep(pauseMs, signal);
    }
    while (this.inFlight.size > 0) await Promise.all(this.inFlight);
    await balancing;
  }

  /** Sends a request that crashes engines repeatedly, then once to each instance. */
  startCrashMarker(): void {
    this.track(this.sendCrashMarker());
  }

  private track(task: Promise<unknown>): void {
    const tracked = task.finally(() => this.inFlight.delete(tracked));
    this.inFlight.add(tracked);
  }

  private async pollReadiness(signal: AbortSignal): Promise<void> {
    const poll = async ({ name, metrics }: BalancedEntry) => {
      try {
        const timeout = AbortSignal.timeout(READINESS_TIMEOUT_MS);
        const answer = await fetch(`${metrics}/readyz`, { signal: timeout });
        await answer.text();
        if (answer.ok) this.ready.add(name);
        else this.ready.delete(name);
      } catch {
        this.ready.delete(name);
      }
    };
    while (!signal.aborted) {
      await Promise.all(this.options.entries.map(poll));
      await systemClock.sleep(READINESS_INTERVAL_MS, signal);
    }
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.random.nextInt(items.length)] as T;
  }

  private chooseEntry(): BalancedEntry {
    const { entries } = this.options;
    const ready = entries.filter(({ name }) => this.ready.has(name));
    return this.pick(ready.length > 0 ? ready : entries);
  }

  private createId(): string {
    this.requestCount += 1;
    return `soak-${this.options.seed}-${this.requestCount}`;
  }

  private createPlan(plan: Pick<CallPlan, 'kind' | 'model'> & Partial<CallPlan>): CallPlan {
    const isLong = this.random.next() < 0.2;
    return {
      requestId: this.createId(),
      workspace: this.pick(['ladders', 'decals']),
      stream: this.random.next() < 0.5,
      tokens: 1 + this.random.nextInt(isLong ? LONG_TOKENS : SHORT_TOKENS),
      ...plan,
    };
  }

  private sendChat(): Promise<unknown> {
    const workspace = this.pick(['ladders', 'decals']);
    const model = this.pick(explicitModels[workspace] ?? []);
    const plan = this.createPlan({ kind: 'chat', workspace, model });
    return this.options.sender.send(plan, this.chooseEntry());
  }

  private sendCascade(): Promise<unknown> {
    const plan = this.createPlan({ kind: 'cascade', model: 'auto' });
    return this.options.sender.send(plan, this.chooseEntry());
  }

  private async sendSession(): Promise<void> {
    const conversation = this.chooseConversation();
    if (!conversation) return;
    conversation.busy = true;
    conversation.sent += 1;
    const plan = this.createPlan({
      kind: 'session',
      model: conversation.model,
      workspace: 'ladders',
      session: conversation.number,
    });
    if (conversation.token !== undefined) plan.sessionToken = conversation.token;
    const { record, sessionToken } = await this.options.sender.send(plan, this.chooseEntry());
    if (sessionToken !== undefined) conversation.token = sessionToken;
    conversation.busy = false;
    const isOver = record.code === SESSION_ENDED || conversation.sent >= SESSION_LENGTH;
    if (isOver) this.conversations.splice(this.conversations.indexOf(conversation), 1);
  }

  private chooseConversation(): Conversation | undefined {
    if (this.conversations.length < SESSIONS) {
      this.conversationCount += 1;
      const model = this.pick(['small', 'small', 'small@2', 'small@3', 'auto']);
      const number = this.conversationCount;
      const created = { number, model, token: undefined, sent: 0, busy: false };
      this.conversations.push(created);
      return created;
    }
    const idle = this.conversations.filter(({ busy }) => !busy);
    return idle.length > 0 ? this.pick(idle) : undefined;
  }

  private async sendRepeatedId(): Promise<void> {
    const plan = this.createPlan({ kind: 'repeated-id', model: 'medium' });
    const { sender } = this.options;
    const first = sender.send(plan, this.chooseEntry());
    if (this.random.next() < 0.5) await first;
    await Promise.all([first, sender.send(plan, this.pick(this.options.entries))]);
  }

  private sendServiceRead(): Promise<unknown> {
    const plan = this.createPlan({
      kind: 'service-read',
      model: 'service:standings',
      stream: false,
      tokens: 0,
      method: 'GET',
      servicePath: '/services/standings/table',
    });
    return this.options.sender.send(plan, this.chooseEntry());
  }

  /**
   * Sends a non-idempotent call; in some cases repeats it at once, later, or both, at any instance.
   */
  private async sendServiceCall(): Promise<void> {
    const { sender, entries } = this.options;
    const requestId = this.createId();
    const plan = this.createPlan({
      kind: 'service-call',
      model: 'service:standings',
      stream: false,
      tokens: 0,
      method: 'POST',
      servicePath: '/services/standings/results',
      requestId,
      idempotencyKey: `key-${requestId}`,
    });
    const calls = [sender.send(plan, this.chooseEntry())];
    if (this.random.next() < 0.4) {
      const repeat = { ...plan, requestId: `${requestId}-again` };
      calls.push(sender.send(repeat, this.pick(entries)));
    }
    await Promise.all(calls);
    if (this.random.next() < 0.4) {
      await systemClock.sleep(this.random.next() * LATER_REPEAT_MS);
      const repeat = { ...plan, requestId: `${requestId}-later` };
      await sender.send(repeat, this.pick(entries));
    }
  }

  private async sendCrashMarker(): Promise<void> {
    const { sender, entries } = this.options;
    const prompt = `${CRASH_MARKER} ${this.createId()}`;
    const shape = { model: 'small@1', workspace: 'ladders', tokens: 16, prompt };
    for (let attempt = 0; attempt < MARKER_ATTEMPTS; attempt += 1) {
      const plan = this.createPlan({ kind: 'crash-marker', ...shape });
      await sender.send(plan, this.chooseEntry());
      await systemClock.sleep(MARKER_INTERVAL_MS);
    }
    for (const entry of entries) {
      await sender.send(this.createPlan({ kind: 'crash-probe', ...shape }), entry);
    }
  }
}
