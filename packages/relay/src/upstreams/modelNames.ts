import { createClientKey } from '@cactusstair/utils';

/** Stands for all models that are not remembered by name. */
export const OTHER_MODELS = '';
/** Models of a service whose configuration lists none that are remembered by name. */
const MAX_UNLISTED_MODELS = 16;

/**
 * Names by which the times and cached parts of a service's models are remembered. A caller may ask for
 * any model, so only those that the configuration lists, or the first ones if it lists none, have a
 * name of their own.
 */
export class ModelNames {
  private readonly unlisted = new Set<string>();

  /** @param listed models of the configuration */
  resolve(model: string, listed: readonly string[]): string {
    if (listed.length > 0) return listed.find((name) => name === model) ?? OTHER_MODELS;
    const key = createClientKey(model);
    if (this.unlisted.has(key)) return key;
    if (this.unlisted.size >= MAX_UNLISTED_MODELS) return OTHER_MODELS;
    this.unlisted.add(key);
    return key;
  }
}
