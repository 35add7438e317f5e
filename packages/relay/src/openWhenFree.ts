import type { Clock } from '@cactusstair/utils';

/** Options of `openWhenFree`. */
export interface OpenWhenFreeOptions {
  clock: Clock;
  /** Ends the wait; the last error is thrown then. */
  signal: AbortSignal;
  /** Called once for each address that is taken. */
  onTaken: (message: string) => void;
}

const RETRY_INTERVAL_MS = 100;
/** The address is in use, or not set up on this machine yet. */
const TEMPORARY_CODES: readonly (string | undefined)[] = ['EADDRINUSE', 'EADDRNOTAVAIL'];

/**
 * Opens listeners one after the other. While another process has the address of one, such as the
 * process before that has not ended yet, tries again: to end and be started again would not free it.
 */
export async function openWhenFree(
  listeners: readonly (() => Promise<void>)[],
  options: OpenWhenFreeOptions,
): Promise<void> {
  for (const open of listeners) await openOneWhenFree(open, options);
}

async function openOneWhenFree(
  open: () => Promise<void>,
  { clock, signal, onTaken }: OpenWhenFreeOptions,
): Promise<void> {
  let isReported = false;
  for (;;) {
    try {
      await open();
      return;
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      if (!TEMPORARY_CODES.includes(code) || signal.aborted) throw error;
      if (!isReported) onTaken(message);
      isReported = true;
    }
    await clock.sleep(RETRY_INTERVAL_MS, signal);
  }
}
