import type { ClusterOptions } from '@cactusstair/place';

import type { FaultTargets } from './faultSchedule.js';

const MARKER_DOWN_MS = 800;

/** Prompt text that crashes any engine that runs it. */
export const CRASH_MARKER = 'CRASH-ENGINE';

/** Fault that makes an engine crash on the marker. */
export const crashMarkerFault = {
  fault: 'crashOnMarker',
  marker: CRASH_MARKER,
  downMs: MARKER_DOWN_MS,
  afterTokens: 3,
};

const SMALL = ['small@1', 'small@2', 'small@3'];
const STRONG = ['medium@1', 'large@1'];

/** Fault targets in the cluster of the soak test. */
export const soakTargets: FaultTargets = {
  entries: ['riga-a-1', 'riga-a-2', 'riga-b-1'],
  engines: ['riga-a-engine-1', 'riga-a-engine-2', 'riga-b-engine-1', 'riga-b-engine-2'],
  leavingUpstreams: ['riga-a-engine-2', 'riga-b-engine-1'],
  apiProxies: ['api-a', 'api-b'],
  linkProxies: ['link-a-engine-1', 'link-b-engine-2', 'link-a-standings-1'],
  peersProxies: ['peers-a-1', 'peers-a-2'],
};

/** Allowed versions, `model@version`, by workspace. */
export const soakAllowed: Record<string, string[]> = {
  ladders: [...SMALL, ...STRONG],
  decals: ['small@1', ...STRONG],
};

/** Creates the options of the soak test's cluster: eleven processes and seven proxies. */
export function createSoakClusterOptions(
  seed: number,
  settledMs: number,
  runDir: string,
): ClusterOptions {
  const engines = [{ versions: SMALL }, { versions: STRONG }];
  return {
    seed,
    runDir,
    region: 'lv-central',
    zones: [
      { name: 'riga-a', entries: 2, engines, services: [{ service: 'standings' }] },
      { name: 'riga-b', entries: 1, engines },
    ],
    models: [
      {
        name: 'small',
        versions: [
          { version: '1', quality: 0.7 },
          { version: '2', quality: 0.7 },
          { version: '3', quality: 0.72, state: 'candidate' },
        ],
      },
      { name: 'medium', versions: [{ version: '1', quality: 0.82, promptMicros: 200 }] },
      { name: 'large', versions: [{ version: '1', quality: 0.92, promptMicros: 900 }] },
    ],
    workspaces: [
      { name: 'ladders' },
      {
        name: 'decals',
        models: [
          { model: 'small', versions: ['1'] },
          { model: 'medium', versions: [] },
          { model: 'large', versions: [] },
        ],
      },
    ],
    cascades: [
      { workspace: 'ladders', name: 'auto', rungs: ['small', 'medium', 'large'] },
      { workspace: 'decals', name: 'auto', rungs: ['small', 'large'] },
    ],
    proxies: [
      { name: 'api-a', from: 'riga-a', to: 'platform' },
      { name: 'api-b', from: 'riga-b', to: 'platform' },
      { name: 'link-a-engine-1', from: '*', to: 'riga-a-engine-1' },
      { name: 'link-b-engine-2', from: '*', to: 'riga-b-engine-2' },
      { name: 'link-a-standings-1', from: '*', to: 'riga-a-standings-1' },
      { name: 'peers-a-1', from: '*', to: 'riga-a-1', port: 'peers' },
      { name: 'peers-a-2', from: '*', to: 'riga-a-2', port: 'peers' },
    ],
    entrySettings: { permits: { candidateMs: 10_000, settledMs }, invariants: { fatal: true } },
    // The platform shows the list of instances as it was 5 s ago.
    platform: { instanceLagMs: 5000 },
  };
}
