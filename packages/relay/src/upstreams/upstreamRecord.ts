/** One run of an upstream as the platform's list names it. */
export interface UpstreamRecord {
  /** Unique to one run; mostly new after each start. */
  id: string;
  service: string;
  host: string;
  port: number;
  zone: string;
  /** Version of the software or weights that the upstream serves. */
  version: string;
  slots: number;
  /** Whether the upstream has announced that it leaves. */
  isDraining: boolean;
  /** Time for which the upstream stays slow after its start, in milliseconds. */
  warmupLeftMs: number;
  /** Wall-clock start of this run; 0 when unknown. */
  startedAtMs: number;
}
