/** An event of a simulation. */
export interface SimulatedEvent {
  atMs: number;
  order: number;
  run: () => void;
}

function isBefore(a: SimulatedEvent, b: SimulatedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Events of a simulation, the earliest first; those of the same time in the order of adding. */
export class EventHeap {
  private readonly events: SimulatedEvent[] = [];

  private order = 0;

  add(atMs: number, run: () => void): void {
    this.order += 1;
    const event = { atMs, order: this.order, run };
    let index = this.events.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this.events[parent]!)) break;
      this.events[index] = this.events[parent]!;
      index = parent;
    }
    this.events[index] = event;
  }

  take(): SimulatedEvent | undefined {
    const first = this.events[0];
    const last = this.events.pop();
    const { length } = this.events;
    if (!last || length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= length) break;
      if (child + 1 < length && isBefore(this.events[child + 1]!, this.events[child]!)) child += 1;
      if (!isBefore(this.events[child]!, last)) break;
      this.events[index] = this.events[child]!;
      index = child;
    }
    this.events[index] = last;
    return first;
  }
}
