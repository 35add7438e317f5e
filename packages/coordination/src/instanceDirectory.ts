import type { InstanceRecord } from '@cactusstair/protocol';

import type { ObjectStore } from './objectStore.js';

const INSTANCE_KIND = 'instance';
const MAX_ATTEMPTS = 3;

/** Publishes this instance as `instance/{id}` and lists the published instances. */
export class InstanceDirectory {
  private version: number | undefined;

  constructor(private readonly store: ObjectStore) {}

  /** Writes the record. Returns false if it was not stored; the caller may try again. */
  async publish(record: InstanceRecord): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (this.version === undefined) {
        const current = await this.store.get(INSTANCE_KIND, record.id);
        if (current.isErr() && current.error.type !== 'not_found') return false;
        this.version = current.isOk() ? current.value.version : 0;
      }
      const written =
        this.version > 0
          ? await this.store.update(INSTANCE_KIND, record.id, record, this.version)
          : await this.store.create(INSTANCE_KIND, record.id, record);
      this.version = written.isOk() ? written.value.version : undefined;
      if (written.isOk()) return true;
      if (written.error.type === 'unavailable') return false;
    }
    return false;
  }

  /** Returns the instances that are not leaving; none when the object API fails. */
  async listInstances(): Promise<InstanceRecord[]> {
    const listed = await this.store.list(INSTANCE_KIND);
    if (listed.isErr()) return [];
    return listed.value.objects
      .map((object) => object.value as InstanceRecord)
      .filter((record) => !record.leaving);
  }
}
