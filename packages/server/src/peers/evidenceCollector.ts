import type { CascadePolicy } from '@cactusstair/routing';
import type { Clock } from '@cactusstair/utils';

import type { AddressBook } from './addressBook.js';
import type { PeerClients } from './peerClients.js';

const INTERVAL_MS = 2000;

/**
 * Collects the cascade ratings of the other instances, one instance at a time.
 *
 * The counters are additive, so a reply that is lost or repeated does no harm, and no request waits
 * for them.
 */
export class EvidenceCollector {
  private position = 0;

  constructor(
    private readonly cascades: CascadePolicy,
    private readonly addresses: AddressBook,
    private readonly links: PeerClients,
    private readonly clock: Clock,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(INTERVAL_MS, signal);
      const others = this.addresses.listOthers();
      const peer = others[this.position % Math.max(1, others.length)];
      this.position += 1;
      if (!peer || signal.aborted) continue;
      try {
        this.cascades.importEvidence(await this.links.getCascadeEvidence(peer.peersAddress));
      } catch {
        // The instance may have gone; the next round asks another one.
      }
    }
  }
}
