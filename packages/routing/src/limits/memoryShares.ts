/** Memory that was granted or is asked for. */
interface MemoryRequest {
  /** Who is served from it; owners share the memory evenly. */
  owner: string;
  bytes: number;
  onGranted: () => void;
}

/** Memory that was granted or is asked for, as its holder sees it. */
export interface MemoryGrant {
  /** Gives back all but `bytes` of the memory; no effect if it holds less or was not granted yet. */
  shrinkTo(bytes: number): void;
  /** Gives back the memory, or withdraws the request for it. Repeated calls have no effect. */
  release(): void;
}

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
  request(owner: string, bytes: number, onGranted: () => void): MemoryGrant {
    const request: MemoryRequest = { owner, bytes: Math.min(bytes, this.maxOwnerBytes), onGranted };
    this.waiting.add(request);
    this.grant();
    return {
      shrinkTo: (leftBytes) => {
        if (!this.waiting.has(request)) this.shrink(request, leftBytes);
      },
      release: () => {
        if (!this.waiting.delete(request)) {
          this.shrink(request, 0);
          return;
        }
        // Was not granted, so a further release must give nothing back.
        request.bytes = 0;
        this.grant();
      },
    };
  }

  /** Whether memory that the owner gives back brings a request that waits closer to its grant. */
  isAwaitedFrom(owner: string): boolean {
    for (const request of this.waiting) {
      const isOwnLimit = this.exceedsOwnerLimit(request);
      if (isOwnLimit ? request.owner === owner : request.bytes > this.free) return true;
    }
    return false;
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
      if (held >= leastHeld || this.exceedsOwnerLimit(request)) continue;
      next = request;
      leastHeld = held;
    }
    return next;
  }

  private exceedsOwnerLimit({ owner, bytes }: MemoryRequest): boolean {
    return this.getHeldBytes(owner) + bytes > this.maxOwnerBytes;
  }

  private getHeldBytes(owner: string): number {
    return this.heldBytes.get(owner) ?? 0;
  }

  private shrink(request: MemoryRequest, leftBytes: number): void {
    const bytes = request.bytes - leftBytes;
    if (bytes <= 0) return;
    request.bytes = leftBytes;
    const held = this.getHeldBytes(request.owner) - bytes;
    if (held > 0) this.heldBytes.set(request.owner, held);
    else this.heldBytes.delete(request.owner);
    this.free += bytes;
    this.grant();
  }
}
