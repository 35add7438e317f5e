import type { ClusterOptions, ClusterZone } from './clusterOptions.js';

const ZONES = ['riga-a', 'riga-b', 'jelgava'];

function createZone(name: string): ClusterZone {
  return {
    name,
    engines: [
      { versions: ['small@1', 'small@2'] },
      { versions: ['medium@1'] },
      { versions: ['large@1'], options: { firstTokenMs: 80, tokenMs: 10 } },
    ],
    services: name === ZONES[0] ? [{ service: 'standings' }] : [],
  };
}

/** The cluster of `npm start`: three zones, three models, one service, one workspace. */
export const defaultClusterOptions: ClusterOptions = {
  region: 'lv-central',
  zones: ZONES.map(createZone),
  models: [
    {
      name: 'small',
      versions: [
        { version: '1', quality: 0.65, promptMicros: 50, completionMicros: 200 },
        {
          version: '2',
          state: 'candidate',
          quality: 0.68,
          promptMicros: 50,
          completionMicros: 200,
        },
      ],
    },
    {
      name: 'medium',
      versions: [{ version: '1', quality: 0.8, promptMicros: 200, completionMicros: 800 }],
    },
    {
      name: 'large',
      versions: [{ version: '1', quality: 0.92, promptMicros: 1000, completionMicros: 4000 }],
    },
  ],
  workspaces: [{ name: 'ladders', apiKey: 'ladders-key' }],
  cascades: [{ workspace: 'ladders', name: 'auto', rungs: ['small', 'medium', 'large'] }],
};
