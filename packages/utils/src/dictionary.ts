/**
 * Creates an empty object whose keys are names from outside. It has no properties of its own kind, so
 * that a name such as `constructor` is found only if it was put there.
 */
export function createDictionary<T>(): Record<string, T> {
  return Object.create(null) as Record<string, T>;
}
