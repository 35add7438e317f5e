import type { MemberRecord, ZoneSummary } from '@cactusstair/protocol';
import type { Clock, Random } from '@cactusstair/utils';

/** Contacts listed in a summary. */
const CONTACTS_PER_SUMMARY = 2;
/** Contacts kept for each zone, so that the exchanges with a zone are spread over its members. */
const MAX_KNOWN_CONTACTS = 8;

interface ZoneEntry {
  /** Undefined while only contacts of the zone are known. */
  summary: ZoneSummary | undefined;
  /** Local monotonic time of the last new summary. */
  advancedAtMs: number;
  /** Contacts by id, oldest first. */
  contacts: Map<string, MemberRecord>;
}

/**
 * Removes the age of the confirmation, which would be outdated when the contact is passed on. Keeps
 * the applied revision: a contact may be passed on into its own zone, where a record without the
 * revision would count as not having applied a change.
 */
function createContact(record: MemberRecord): MemberRecord {
  return { ...record, confirmedAgeMs: -1 };
}

/** Latest summary and recent contacts of each zone. */
export class ZoneTable {
  private readonly entries = new Map<string, ZoneEntry>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  listSummaries(): ZoneSummary[] {
    return [...this.entries.values()]
      .map((entry) => entry.summary)
      .filter((summary) => summary !== undefined);
  }

  /** Returns the time since the zone's last new summary; Infinity for an unknown zone. */
  getSummaryAgeMs(zone: string): number {
    const entry = this.entries.get(zone);
    return entry ? this.clock.monotonicMs() - entry.advancedAtMs : Infinity;
  }

  /** Merges a received summary; the higher sequence number wins. */
  merge(summary: ZoneSummary): void {
    const entry = this.getEntry(summary.zone);
    if (entry.summary && entry.summary.sequence >= summary.sequence) return;
    entry.summary = summary;
    entry.advancedAtMs = this.clock.monotonicMs();
    for (const contact of summary.contacts) this.addContact(contact);
  }

  /** Stores a member of a zone as a contact. */
  addContact(record: MemberRecord): void {
    const { contacts } = this.getEntry(record.zone);
    contacts.delete(record.id);
    contacts.set(record.id, createContact(record));
    for (const id of contacts.keys()) {
      if (contacts.size <= MAX_KNOWN_CONTACTS) break;
      contacts.delete(id);
    }
  }

  listContacts(zone: string): MemberRecord[] {
    return [...(this.entries.get(zone)?.contacts.values() ?? [])];
  }

  /** Creates the next summary of this instance's zone and merges it. */
  publish(zone: string, alive: readonly MemberRecord[]): void {
    const sequence = (this.entries.get(zone)?.summary?.sequence ?? 0) + 1;
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
    const others = [...this.entries]
      .filter(([zone, { contacts }]) => zone !== ownZone && contacts.size > 0)
      .map(([, entry]) => entry);
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

  private getEntry(zone: string): ZoneEntry {
    const known = this.entries.get(zone);
    if (known) return known;
    const created: ZoneEntry = { summary: undefined, advancedAtMs: -Infinity, contacts: new Map() };
    this.entries.set(zone, created);
    return created;
  }
}
