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
 * A workspace is held back once it has more than this many times the work of the average one that
 * waits. The requests of a few seconds differ more by chance than by a factor below 2.
 */
const SHARE_TOLERANCE = 2;
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
  let totalMs = waiting.reduce((sum, { workMs }) => sum + workMs, 0);
  for (const workspace of byWorkspace.keys()) totalMs += usage.getMs(workspace, nowMs);
  const shareMs = (totalMs / byWorkspace.size) * SHARE_TOLERANCE;
  for (const [workspace, requests] of byWorkspace) {
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
  const chosen = new Set<T>();
  let workMs = aheadMs;
  for (const request of [...requests].sort((a, b) => a.goalStartMs - b.goalStartMs)) {
    chosen.add(request);
    const startMs = rate === undefined ? nowMs : nowMs + workMs / rate;
    workMs += request.workMs;
    if (startMs <= request.goalStartMs) continue;
    let least = request;
    for (const other of chosen) if (compareWorth(other, least) > 0) least = other;
    chosen.delete(least);
    workMs -= least.workMs;
  }
  return chosen;
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
