import type { WaitingRequest } from './waitingRequest.js';
import type { WorkspaceUsage } from './workspaceUsage.js';

/**
 * Orders the requests that wait for the places of one service. Serves services that are short of
 * places for seconds at a time and whose callers differ in goals, priorities and workspaces.
 */

/** The waiting requests in the order in which they are served. */
export interface QueueOrder<T> {
  /** Resumed streams, and requests that can be served within their latency goal. */
  inTime: T[];
  /** Requests that can only be late, or whose workspace is above its share. */
  others: T[];
}

/**
 * A workspace is held back once it has more than this many times the work of the average other one
 * that waits. With few requests each, workspaces differ by a smaller factor by chance alone.
 */
const SHARE_TOLERANCE = 3;
/** Slack up to this time counts as the least; each further level is twice as long. */
const LEAST_SLACK_MS = 50;

function getSlackLevel(slackMs: number): number {
  return Math.max(0, Math.ceil(Math.log2(Math.max(1, slackMs / LEAST_SLACK_MS))));
}

/** Orders by what is gained: the priority, then the value for each unit of work. */
function compareWorth(a: WaitingRequest, b: WaitingRequest): number {
  return (
    a.priority - b.priority || b.value / b.workMs - a.value / a.workMs || a.arrivedMs - b.arrivedMs
  );
}

function sortBySlack<T extends WaitingRequest>(
  requests: readonly T[],
  getSlackMs: (request: T) => number,
): T[] {
  const levels = new Map(requests.map((item) => [item, getSlackLevel(getSlackMs(item))]));
  return [...requests].sort((a, b) => levels.get(a)! - levels.get(b)! || compareWorth(a, b));
}

/** Returns the requests of workspaces that have more than their share of the work. */
function findOverShare<T extends WaitingRequest>(
  waiting: readonly T[],
  usage: WorkspaceUsage,
  nowMs: number,
): Set<T> {
  const byWorkspace = new Map<string, T[]>();
  for (const request of waiting) {
    const own = byWorkspace.get(request.workspace);
    if (own) own.push(request);
    else byWorkspace.set(request.workspace, [request]);
  }
  const over = new Set<T>();
  if (byWorkspace.size < 2) return over;
  let totalMs = 0;
  const ownMs = new Map<string, number>();
  for (const [workspace, requests] of byWorkspace) {
    const waitingMs = requests.reduce((sum, { workMs }) => sum + workMs, 0);
    const sumMs = usage.getMs(workspace, nowMs) + waitingMs;
    ownMs.set(workspace, sumMs);
    totalMs += sumMs;
  }
  for (const [workspace, requests] of byWorkspace) {
    const othersMs = totalMs - ownMs.get(workspace)!;
    const shareMs = (othersMs / (byWorkspace.size - 1)) * SHARE_TOLERANCE;
    let aheadMs = usage.getMs(workspace, nowMs);
    requests.sort((a, b) => a.goalStartMs - b.goalStartMs || compareWorth(a, b));
    for (const request of requests) {
      if (aheadMs > shareMs) over.add(request);
      aheadMs += request.workMs;
    }
  }
  return over;
}

/**
 * Selects the requests that can all start in time (Moore and Hodgson's rule): in order of their
 * latest start, the least worth of those chosen so far gives way whenever one would start late.
 */
function selectInTime<T extends WaitingRequest>(
  requests: readonly T[],
  rate: number | undefined,
  nowMs: number,
  aheadMs: number,
): Set<T> {
  const byWorth: T[] = [];
  let workMs = aheadMs;
  for (const request of [...requests].sort((a, b) => a.goalStartMs - b.goalStartMs)) {
    insertByWorth(byWorth, request);
    const startMs = rate === undefined ? nowMs : nowMs + workMs / rate;
    workMs += request.workMs;
    if (startMs > request.goalStartMs) workMs -= byWorth.pop()!.workMs;
  }
  return new Set(byWorth);
}

/** Inserts a request into a list that is ordered by worth, the least last. */
function insertByWorth<T extends WaitingRequest>(byWorth: T[], request: T): void {
  let low = 0;
  let high = byWorth.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareWorth(byWorth[middle]!, request) <= 0) low = middle + 1;
    else high = middle;
  }
  byWorth.splice(low, 0, request);
}

/**
 * Orders the waiting requests: resumed streams, then those that can be in time by least slack (in
 * levels), priority and value for their work, then all others by the same rule with their deadline.
 *
 * @param rate work that leaves the queue per millisecond; undefined while it is not known
 */
export function computeQueueOrder<T extends WaitingRequest>(
  waiting: readonly T[],
  usage: WorkspaceUsage,
  rate: number | undefined,
  nowMs: number,
): QueueOrder<T> {
  const resumed = waiting
    .filter(({ isResumed }) => isResumed)
    .sort((a, b) => a.latestStartMs - b.latestStartMs || a.arrivedMs - b.arrivedMs);
  const started = waiting.filter(({ isResumed }) => !isResumed);
  const over = findOverShare(started, usage, nowMs);
  const candidates = started.filter(
    (request) => !over.has(request) && request.goalStartMs >= nowMs,
  );
  const resumedMs = resumed.reduce((sum, { workMs }) => sum + workMs, 0);
  const chosen = selectInTime(candidates, rate, nowMs, resumedMs);
  return {
    inTime: [...resumed, ...sortBySlack([...chosen], ({ goalStartMs }) => goalStartMs - nowMs)],
    others: sortBySlack(
      started.filter((request) => !chosen.has(request)),
      ({ latestStartMs }) => latestStartMs - nowMs,
    ),
  };
}
