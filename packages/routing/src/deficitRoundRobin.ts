/** An item that waits in a `DeficitRoundRobin`. */
export interface QueueItem {
  workspace: string;
  /** Weight of the workspace relative to the others, above 0. */
  weight: number;
  /** Cost in tokens, above 0. */
  cost: number;
}

interface Flow<T> {
  items: T[];
  /** Sum of the costs of `items`. */
  cost: number;
  weight: number;
  deficit: number;
}

/** Tokens added to the deficit of a workspace of weight 1 per round. */
const QUANTUM_TOKENS = 64;

/**
 * FIFO queue per workspace, served by deficit round robin: over time, each waiting workspace is
 * served cost in proportion to its weight, regardless of the size of its requests.
 */
export class DeficitRoundRobin<T extends QueueItem> {
  // A Map iterates in insertion order; the first flow is served next.
  private readonly flows = new Map<string, Flow<T>>();

  private itemCount = 0;

  get length(): number {
    return this.itemCount;
  }

  push(item: T): void {
    let flow = this.flows.get(item.workspace);
    if (!flow) {
      flow = { items: [], cost: 0, weight: item.weight, deficit: 0 };
      this.flows.set(item.workspace, flow);
    }
    // A changed weight takes effect with the workspace's next request.
    flow.weight = item.weight;
    flow.items.push(item);
    flow.cost += item.cost;
    this.itemCount += 1;
  }

  /** Returns the item that `shift` would remove. */
  peek(): T | undefined {
    return this.findNextFlow()?.items[0];
  }

  /** Removes and returns the next item. */
  shift(): T | undefined {
    const flow = this.findNextFlow();
    const item = flow?.items[0];
    if (!flow || !item) return undefined;
    flow.deficit -= item.cost;
    this.removeAt(flow, 0);
    return item;
  }

  /** Removes an item before it is served; returns false if it is not queued. */
  remove(item: T): boolean {
    const flow = this.flows.get(item.workspace);
    const index = flow?.items.indexOf(item) ?? -1;
    if (!flow || index < 0) return false;
    this.removeAt(flow, index);
    return true;
  }

  /** Returns the newest item of the workspace with the largest waiting cost per weight. */
  findEvictionCandidate(): { item: T; costPerWeight: number } | undefined {
    let found: { item: T; costPerWeight: number } | undefined;
    for (const flow of this.flows.values()) {
      const costPerWeight = flow.cost / flow.weight;
      if (!found || costPerWeight > found.costPerWeight) {
        found = { item: flow.items[flow.items.length - 1]!, costPerWeight };
      }
    }
    return found;
  }

  /** Returns the waiting cost per weight of a workspace. */
  getCostPerWeight(workspace: string): number {
    const flow = this.flows.get(workspace);
    return flow ? flow.cost / flow.weight : 0;
  }

  /**
   * Estimates the cost that is served before a new item: the waiting cost of its own workspace and
   * what the other workspaces are served in the meantime.
   */
  getCostAhead(item: QueueItem): number {
    const ownCost = this.flows.get(item.workspace)?.cost ?? 0;
    const rounds = (ownCost + item.cost) / item.weight;
    let ahead = ownCost;
    for (const [workspace, flow] of this.flows) {
      if (workspace !== item.workspace) ahead += Math.min(flow.cost, rounds * flow.weight);
    }
    return ahead;
  }

  private removeAt(flow: Flow<T>, index: number): void {
    const [item] = flow.items.splice(index, 1);
    if (!item) return;
    flow.cost -= item.cost;
    this.itemCount -= 1;
    if (flow.items.length === 0) this.flows.delete(item.workspace);
  }

  /** Advances to the next flow whose deficit covers its first item. */
  private findNextFlow(): Flow<T> | undefined {
    for (let visited = 0; visited <= this.flows.size; visited += 1) {
      const [workspace, flow] = this.flows.entries().next().value ?? [];
      if (!flow || workspace === undefined) return undefined;
      if (flow.deficit >= flow.items[0]!.cost) return flow;
      this.flows.delete(workspace);
      this.flows.set(workspace, flow);
      flow.deficit += QUANTUM_TOKENS * flow.weight;
    }
    this.skipRounds();
    return this.findNextFlow();
  }

  /**
   * Adds the deficits of all rounds in which no flow can be served in one step, so that the time of
   * a step does not depend on the size of the requests.
   */
  private skipRounds(): void {
    let rounds = Infinity;
    for (const flow of this.flows.values()) {
      const missing = flow.items[0]!.cost - flow.deficit;
      rounds = Math.min(rounds, Math.floor(missing / (QUANTUM_TOKENS * flow.weight)));
    }
    if (!Number.isFinite(rounds) || rounds <= 0) return;
    for (const flow of this.flows.values()) flow.deficit += rounds * QUANTUM_TOKENS * flow.weight;
  }
}
