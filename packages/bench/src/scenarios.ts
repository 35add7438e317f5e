import type { Scenario } from './scenario.js';
import { overload } from './scenarios/overload.js';
import { upstreamChoice } from './scenarios/upstreamChoice.js';

/** All scenarios by name. A new scenario is added here and runs with `npm run bench -- <name>`. */
export const scenarios: Record<string, Scenario> = {
  'upstream-choice': upstreamChoice,
  overload,
};
