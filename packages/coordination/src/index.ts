/** Coordination parts over a versioned object store, usable without the daemon. */
export type { StoreFault } from './memoryObjectStore.js';
export { MemoryObjectStore } from './memoryObjectStore.js';
export type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchEvent,
} from './objectStore.js';
