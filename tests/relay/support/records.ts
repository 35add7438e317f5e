import type { UpstreamRecord } from '@cactusstair/relay';

/** Creates the record of an upstream of the service `app`. */
export function createRecord(id: string, overrides: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return {
    id,
    service: 'app',
    host: '127.0.0.1',
    port: 1,
    zone: 'zone-1',
    version: 'v1',
    slots: 4,
    isDraining: false,
    warmupLeftMs: 0,
    startedAtMs: 0,
    ...overrides,
  };
}
