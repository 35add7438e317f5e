/** One run of an upstream, as listed by the platform. */
export interface UpstreamRecord {
  /** Unique to one run; usually different after each start. */
  id: string;
  service: string;
  host: string;
  port: number;
  zone: string;
  /** Version of the software or weights that the upstream serves. */
  version: string;
  /** Requests that it runs at the same time; one with 0 gets none. */
  slots: number;
  /** Whether the upstream has announced its shutdown. */
  isDraining: boolean;
  /**
   * Time for which it is cold, in milliseconds from when its entry was written; undefined when the
   * entry does not say so in a plausible way.
   */
  warmupLeftMs: number | undefined;
  /** Wall-clock time at which this run started; 0 when unknown. */
  startedAtMs: number;
}
