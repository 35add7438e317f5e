/** Memory that was granted or is asked for. */
interface MemoryRequest {
  /** Who is served from it; owners share the memory evenly. */
  owner: string;
  bytes: number;
  onGranted: () => void;
}

/** Gives back memory, or withdraws the request for it. Repeated calls have no effect. */
export type ReleaseMemory = () => void;

/** Share of the memory that one owner may hold, so that it cannot keep all others waiting. */
const MAX_OWNER_SHARE = 0.5;

/**
 * Divides a bounded amount of memory. Who cannot be served at once waits; what is given back goes to
 * the owner that holds least, so that an owner that asks without end delays only itself. A request is
 * granted as a whole: parts could leave all who hold one waiting for each other.
 */
export class MemoryShares {
  private readonly waiting = new Set<MemoryRequest>();

  private readonly heldBytes = new Map<string, number>();

  private free: number;

  /** @param maxBytes memory that is granted at the same time, in bytes */
  constructor(private readonly maxBytes: number) {
    this.free = maxBytes;
  }

  private get maxOwnerBytes(): number {
    return this.maxBytes * MAX_OWNER_SHARE;
  }

  /** Memory that is granted, in bytes. */
  get usedBytes(): number {
    return this.maxBytes - this.free;
  }

  /**
   * Asks for memory; `onGranted` is called when it is there, which may be at once.
   *
   * @param bytes at most half of the memory; more counts as half
   */
  request(owner: string, bytes: number, onGranted: () => void): ReleaseMemory {
    const request: MemoryRequest = { owner, bytes: Math.min(bytes, this.maxOwnerBytes), onGranted };
    this.waiting.add(request);
    let isReleased = false;
    this.grant();
    return () => {
      if (isReleased) return;
      isReleased = true;
      if (!this.waiting.delete(request)) this.takeBack(request);
      this.grant();
    };
  }

  /** Grants requests while there is memory for the next one. */
  private grant(): void {
    for (;;) {
      const next = this.findNext();
      if (!next || next.bytes > this.free) return;
      this.waiting.delete(next);
      this.free -= next.bytes;
      this.heldBytes.set(next.owner, this.getHeldBytes(next.owner) + next.bytes);
      next.onGranted();
    }
  }

  /** Returns the oldest request of the owner that holds least, unless each holds its share. */
  private findNext(): MemoryRequest | undefined {
    let next: MemoryRequest | undefined;
    let leastHeld = Infinity;
    for (const request of this.waiting) {
      const held = this.getHeldBytes(request.owner);
      if (held >= leastHeld || held + request.bytes > this.maxOwnerBytes) continue;
      next = request;
      leastHeld = held;
    }
    return next;
  }

  private getHeldBytes(owner: string): number {
    return this.heldBytes.get(owner) ?? 0;
  }

  private takeBack({ owner, bytes }: MemoryRequest): void {
    const held = this.getHeldBytes(owner) - bytes;
    if (held > 0) this.heldBytes.set(owner, held);
    else this.heldBytes.delete(owner);
    this.free += bytes;
  }
}
