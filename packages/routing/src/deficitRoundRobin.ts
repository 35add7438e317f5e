/** An item that waits in a `DeficitRoundRobin`. */
export interface QueueItem {
  workspace: string;
  /** Share of the workspace relative to the others, above 0. */
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

/** Tokens that a workspace of weight 1 earns per round. */
const QUANTUM_TOKENS = 64;

/**
 * First-in-first-out queue per workspace, served by deficit round robin: over time each waiting
 * workspace gets cost in proportion to its weight, whatever the size of its requests.
 */
export class DeficitRoundRobin<T extends QueueItem> {
  // A Map iterates in insertion order; the first flow is the one being served.
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
    // A changed weight takes effect with the next request.
    flow.weight = item.weight;
    flow.items.push(item);
    flow.cost += item.cost;
    this.itemCount += 1;
  }

  /** Returns the item that `shift` would remove. */
  peek(): T | undefined {
    return this.findServed()?.items[0];
  }

  /** Removes the next item. */
  shift(): T | undefined {
    const flow = this.findServed();
    const item = flow?.items[0];
    if (!flow || !item) return undefined;
    flow.deficit -= item.cost;
    this.removeAt(flow, 0);
    return item;
  }

  /** Removes an item that is no longer wanted. */
  remove(item: T): boolean {
    const flow = this.flows.get(item.workspace);
    const index = flow?.items.indexOf(item) ?? -1;
    if (!flow || index < 0) return false;
    this.removeAt(flow, index);
    return true;
  }

  /** Returns the newest item of the workspace with the most waiting cost per weight. */
  findExcess(): { item: T; costPerWeight: number } | undefined {
    let found: { item: T; costPerWeight: number } | undefined;
    for (const flow of this.flows.values()) {
      const costPerWeight = flow.cost / flow.weight;
      if (!found || costPerWeight > found.costPerWeight) {
        found = { item: flow.items[flow.items.length - 1]!, costPerWeight };
      }
    }
    return found;
  }

  /** Waiting cost per weight of a workspace. */
  getCostPerWeight(workspace: string): number {
    const flow = this.flows.get(workspace);
    return flow ? flow.cost / flow.weight : 0;
  }

  /**
   * Returns the cost that will be served before a new item of a workspace: what the workspace
   * itself waits for, and what the others are served in the meantime.
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

  /** Moves on to the flow whose deficit covers its first item. */
  private findServed(): Flow<T> | undefined {
    for (let visited = 0; visited <= this.flows.size; visited += 1) {
      const [workspace, flow] = this.flows.entries().next().value ?? [];
      if (!flow || workspace === undefined) return undefined;
      if (flow.deficit >= flow.items[0]!.cost) return flow;
      this.flows.delete(workspace);
      this.flows.set(workspace, flow);
      flow.deficit += QUANTUM_TOKENS * flow.weight;
    }
    this.skipRounds();
    return this.findServed();
  }

  /** Adds the rounds in which no flow could be served at once, so that the cost of a step does not
   * depend on the size of the requests. */
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
