/** Work that was served is forgotten with this time constant. */
const USAGE_TIME_CONSTANT_MS = 5000;
/** Bounds the memory that callers with many workspaces can take. */
const MAX_WORKSPACES = 5000;

interface Usage {
  workMs: number;
  atMs: number;
}

/** Work that each workspace was served in the last seconds. */
export class WorkspaceUsage {
  private readonly usages = new Map<string, Usage>();

  record(workspace: string, workMs: number, nowMs: number): void {
    const usage = { workMs: this.getMs(workspace, nowMs) + workMs, atMs: nowMs };
    this.usages.delete(workspace);
    this.usages.set(workspace, usage);
    if (this.usages.size <= MAX_WORKSPACES) return;
    const oldest = this.usages.keys().next();
    if (!oldest.done) this.usages.delete(oldest.value);
  }

  getMs(workspace: string, nowMs: number): number {
    const usage = this.usages.get(workspace);
    if (!usage) return 0;
    return usage.workMs * Math.exp(-Math.max(0, nowMs - usage.atMs) / USAGE_TIME_CONSTANT_MS);
  }
}
