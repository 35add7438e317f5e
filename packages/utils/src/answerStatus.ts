const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Returns what is wrong with the status of a final HTTP answer; undefined if it exists. */
export function describeInvalidStatus(status: number): string | undefined {
  return status < MIN_FINAL_STATUS || status > MAX_STATUS
    ? `the status ${status} does not exist`
    : undefined;
}
