import { cascadeScenario } from './cascadeScenario.js';
import { rolloutScenario } from './rolloutScenario.js';
import type { Scenario } from './scenario.js';
import { membership } from './scenarios/membership.js';
import { overload } from './scenarios/overload.js';
import { upstreamChoice } from './scenarios/upstreamChoice.js';

/** All scenarios by name. A new scenario is added here and runs with `npm run bench -- <name>`. */
export const scenarios: Record<string, Scenario> = {
  'upstream-choice': upstreamChoice,
  overload,
  cascade: cascadeScenario,
  rollout: rolloutScenario,
  membership,
};
