/** One entry of the platform's list of instances. */
export interface ListedInstance {
  name: string;
  /** `host:port` of the instance. */
  address: string;
  zone: string;
  state: 'live' | 'leaving';
}

interface Change {
  atMs: number;
  name: string;
  instance: ListedInstance | undefined;
}

/** The platform's list of live and leaving instances, with a delay of `lagMs`. */
export class InstanceList {
  private readonly visible = new Map<string, ListedInstance>();

  private pending: Change[] = [];

  constructor(private readonly lagMs: number) {}

  /** Records a change; `undefined` removes the instance. */
  record(name: string, instance: ListedInstance | undefined): void {
    this.pending.push({ atMs: performance.now(), name, instance });
  }

  /** Returns the list as it was `lagMs` ago. */
  getVisible(): ListedInstance[] {
    const shownUntilMs = performance.now() - this.lagMs;
    const due = this.pending.filter((change) => change.atMs <= shownUntilMs);
    this.pending = this.pending.filter((change) => change.atMs > shownUntilMs);
    for (const { name, instance } of due) {
      if (instance) this.visible.set(name, instance);
      else this.visible.delete(name);
    }
    return [...this.visible.values()];
  }
}
