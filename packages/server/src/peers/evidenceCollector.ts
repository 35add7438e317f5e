import type { CascadePolicy } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { AddressBook } from './addressBook.js';
import type { PeerClients } from './peerClients.js';

const COLLECT_INTERVAL_MS = 2000;

/**
 * Collects the cascade ratings of the other instances, one instance at a time.
 *
 * A reply holds running totals of its sender, so a lost or repeated reply does no harm. No request
 * waits for a collection.
 */
export class EvidenceCollector {
  private nextIndex = 0;

  constructor(
    private readonly cascades: CascadePolicy,
    private readonly addresses: AddressBook,
    private readonly peerClients: PeerClients,
    private readonly clock: Clock,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(COLLECT_INTERVAL_MS, signal);
      const others = this.addresses.listOthers();
      const peer = others[this.nextIndex % Math.max(1, others.length)];
      this.nextIndex += 1;
      if (!peer || signal.aborted) continue;
      try {
        this.cascades.importEvidence(await this.peerClients.getCascadeEvidence(peer.peersAddress));
      } catch {
        // The instance may have stopped. The next iteration asks another one.
      }
    }
  }
}
