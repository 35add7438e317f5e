/** The entry instance: the server between callers and upstreams. */
export { EntryInstance } from './entryInstance.js';
export type { EntrySettings } from './settings.js';
export { createEntrySettingsSchema, loadEntrySettings } from './settings.js';
