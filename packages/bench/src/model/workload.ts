import type { RequestClass } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

/** A simulated request. */
export interface WorkloadRequest {
  workspace: string;
  requestClass: RequestClass;
  prefixHashes: string[];
  promptTokens: number;
  outputTokens: number;
}

/** Options of `Workload`. */
export interface WorkloadOptions {
  /** Share of requests of the class `long`. */
  longShare: number;
  workspaces: number;
  /** Prompt templates per workspace, which are the prefixes that requests share. */
  templatesPerWorkspace: number;
  blockTokens: number;
}

interface Session {
  workspace: number;
  template: number;
  id: number;
  /** Blocks of the conversation after the template. */
  blocks: number;
  turnsLeft: number;
}

interface ClassShape {
  templateBlocks: number;
  /** Minimum and maximum of the prompt tokens that a turn adds. */
  turnTokens: [number, number];
  outputTokens: [number, number];
  /** Largest number of turns of a conversation. */
  maxTurns: number;
}

const SHAPES: Record<RequestClass, ClassShape> = {
  short: { templateBlocks: 6, turnTokens: [40, 200], outputTokens: [20, 80], maxTurns: 3 },
  long: { templateBlocks: 16, turnTokens: [200, 1200], outputTokens: [200, 600], maxTurns: 4 },
};
/** Number of concurrent conversations; each request is the next turn of a random one. */
const OPEN_SESSIONS = 150;

/** Generates the requests of conversations that start with a template of their workspace. */
export class Workload {
  private readonly sessions: Record<RequestClass, Session[]> = { short: [], long: [] };

  private nextSession = 0;

  constructor(
    private readonly random: Random,
    private readonly options: WorkloadOptions,
  ) {}

  next(): WorkloadRequest {
    const requestClass = this.random.next() < this.options.longShare ? 'long' : 'short';
    const shape = SHAPES[requestClass];
    const session = this.pickSession(requestClass);
    const turnTokens = this.draw(shape.turnTokens);
    const outputTokens = this.draw(shape.outputTokens);
    const { blockTokens } = this.options;
    const turnBlocks = Math.max(1, Math.round(turnTokens / blockTokens));
    const prefixHashes = this.listHashes(requestClass, session, session.blocks + turnBlocks);
    session.blocks += turnBlocks + Math.round(outputTokens / blockTokens);
    session.turnsLeft -= 1;
    return {
      workspace: `w${session.workspace}`,
      requestClass,
      prefixHashes,
      promptTokens: (prefixHashes.length - turnBlocks) * blockTokens + turnTokens,
      outputTokens,
    };
  }

  private draw([from, to]: [number, number]): number {
    return from + this.random.nextInt(to - from + 1);
  }

  /**
   * Draws low numbers more often, so that few workspaces and templates make most of the traffic.
   */
  private drawSkewed(count: number): number {
    return Math.floor(count * this.random.next() ** 2);
  }

  private pickSession(requestClass: RequestClass): Session {
    const open = this.sessions[requestClass];
    const index = this.random.nextInt(OPEN_SESSIONS);
    const existing = open[index];
    if (existing && existing.turnsLeft > 0) return existing;
    const session: Session = {
      workspace: this.drawSkewed(this.options.workspaces),
      template: this.drawSkewed(this.options.templatesPerWorkspace),
      id: this.nextSession,
      blocks: 0,
      turnsLeft: 1 + this.random.nextInt(SHAPES[requestClass].maxTurns),
    };
    this.nextSession += 1;
    open[index] = session;
    return session;
  }

  private listHashes(requestClass: RequestClass, session: Session, ownBlocks: number): string[] {
    const template = `${requestClass}/${session.workspace}/${session.template}`;
    const hashes: string[] = [];
    for (let block = 0; block < SHAPES[requestClass].templateBlocks; block += 1) {
      hashes.push(`${template}/${block}`);
    }
    for (let block = 0; block < ownBlocks; block += 1) {
      hashes.push(`${template}/s${session.id}/${block}`);
    }
    return hashes;
  }
}

/** Draws the time to the next arrival of a Poisson process. */
export function drawArrivalGapMs(random: Random, ratePerSecond: number): number {
  return (-Math.log(1 - random.next()) * 1000) / ratePerSecond;
}
