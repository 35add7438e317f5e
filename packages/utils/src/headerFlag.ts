const UNSET_VALUES: readonly string[] = ['', '0', 'false'];

/**
 * Whether a header states what its name says: `Name: 1`, and not `Name: 0`.
 *
 * @param value the header's value, the first of several, or undefined if it is absent
 */
export function isHeaderSet(value: string | readonly string[] | undefined): boolean {
  const text = typeof value === 'object' ? value[0] : value;
  return text !== undefined && !UNSET_VALUES.includes(text.trim().toLowerCase());
}
