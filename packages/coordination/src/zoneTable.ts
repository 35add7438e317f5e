import type { MemberRecord, ZoneSummary } from '@cactusstair/protocol';
import type { Clock, Random } from '@cactusstair/utils';

/** Contacts that a summary names. */
const CONTACTS_PER_SUMMARY = 2;
/** Contacts that are remembered for each zone, so that the zone's exchanges spread over it. */
const MAX_KNOWN_CONTACTS = 8;

interface ZoneEntry {
  summary: ZoneSummary;
  advancedAtMs: number;
  /** Contacts by id, oldest first. */
  contacts: Map<string, MemberRecord>;
}

/** A contact needs its identity and address only; other fields would age on the way. */
function createContact(record: MemberRecord): MemberRecord {
  return { ...record, heartbeat: 0, appliedRevision: 0, confirmedAgeMs: 0 };
}

/** Latest summary and recent contacts of each zone. */
export class ZoneTable {
  private readonly entries = new Map<string, ZoneEntry>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  listSummaries(): ZoneSummary[] {
    return [...this.entries.values()].map((entry) => entry.summary);
  }

  /** Returns the time since the zone's last new summary; Infinity for an unknown zone. */
  getAgeMs(zone: string): number {
    const entry = this.entries.get(zone);
    return entry ? this.clock.monotonicMs() - entry.advancedAtMs : Infinity;
  }

  /** Merges a received summary; the higher sequence number wins. */
  merge(summary: ZoneSummary): void {
    const known = this.entries.get(summary.zone);
    if (known && known.summary.sequence >= summary.sequence) return;
    const contacts = known?.contacts ?? new Map<string, MemberRecord>();
    for (const contact of summary.contacts) {
      contacts.delete(contact.id);
      contacts.set(contact.id, contact);
    }
    for (const id of contacts.keys()) {
      if (contacts.size <= MAX_KNOWN_CONTACTS) break;
      contacts.delete(id);
    }
    const advancedAtMs = this.clock.monotonicMs();
    this.entries.set(summary.zone, { summary, advancedAtMs, contacts });
  }

  /** Makes the next summary of this instance's zone. */
  publish(zone: string, alive: readonly MemberRecord[]): void {
    const sequence = (this.entries.get(zone)?.summary.sequence ?? 0) + 1;
    const candidates = [...alive];
    const contacts: MemberRecord[] = [];
    while (contacts.length < CONTACTS_PER_SUMMARY && candidates.length > 0) {
      const [chosen] = candidates.splice(this.random.nextInt(candidates.length), 1);
      if (chosen) contacts.push(createContact(chosen));
    }
    const lowestAppliedRevision = Math.min(...alive.map((record) => record.appliedRevision));
    this.merge({ zone, sequence, alive: alive.length, lowestAppliedRevision, contacts });
  }

  getSummary(zone: string): ZoneSummary | undefined {
    return this.entries.get(zone)?.summary;
  }

  findContact(id: string): MemberRecord | undefined {
    for (const entry of this.entries.values()) {
      const contact = entry.contacts.get(id);
      if (contact) return contact;
    }
    return undefined;
  }

  /** Chooses a contact of a random zone other than `ownZone`. */
  chooseContact(ownZone: string): MemberRecord | undefined {
    const others = [...this.entries.values()].filter(
      (entry) => entry.summary.zone !== ownZone && entry.contacts.size > 0,
    );
    const entry = others.length > 0 ? others[this.random.nextInt(others.length)] : undefined;
    if (!entry) return undefined;
    const contacts = [...entry.contacts.values()];
    return contacts[this.random.nextInt(contacts.length)];
  }

  /** Drops a contact that did not answer, but never the last one of its zone. */
  dropContact(id: string): void {
    for (const { contacts } of this.entries.values()) {
      if (contacts.size > 1) contacts.delete(id);
    }
  }
}
