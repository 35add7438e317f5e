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
  slots: number;
  /** Whether the upstream has announced its shutdown. */
  isDraining: boolean;
  /** Remaining warm-up time after its start, in milliseconds; the upstream is slower until then. */
  warmupLeftMs: number;
  /** Wall-clock time at which this run started; 0 when unknown. */
  startedAtMs: number;
}
