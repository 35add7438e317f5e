import type { ChooserOptions, UpstreamView } from '@cactusstair/routing';
import { chooseUpstream } from '@cactusstair/routing';
import type { Random } from '@cactusstair/utils';

import type { InstanceView } from './instanceView.js';

/** Chooses one of the usable upstreams for a request of one instance. */
export type ChoicePolicy = (
  views: UpstreamView[],
  prefixHashes: string[],
) => UpstreamView | undefined;

function listUsable(views: UpstreamView[]): UpstreamView[] {
  return views.filter(
    ({ availability }) => availability === 'ready' || availability === 'slow_start',
  );
}

function createRoundRobin(_instance: InstanceView, random: Random): ChoicePolicy {
  let next = random.nextInt(1000);
  return (views) => {
    const usable = listUsable(views);
    next += 1;
    return usable[next % usable.length];
  };
}

function createRandomChoice(_instance: InstanceView, random: Random): ChoicePolicy {
  return (views) => {
    const usable = listUsable(views);
    return usable[random.nextInt(Math.max(1, usable.length))];
  };
}

function createLeastOutstanding(_instance: InstanceView, random: Random): ChoicePolicy {
  return (views) => {
    const usable = listUsable(views);
    const least = Math.min(...usable.map(({ outstanding }) => outstanding));
    const best = usable.filter(({ outstanding }) => outstanding === least);
    return best[random.nextInt(Math.max(1, best.length))];
  };
}

/** A policy with what it needs from the instance. */
export interface ChoiceContender {
  /** Whether instances read the engines' cache events for it. */
  followCaches: boolean;
  create: (instance: InstanceView, random: Random) => ChoicePolicy;
}

/** The chooser of this project; other options than its defaults serve to weigh them. */
export function createChooser(options: ChooserOptions = {}): ChoiceContender {
  return {
    followCaches: true,
    create: (instance, random) => (views, prefixHashes) =>
      chooseUpstream(
        views,
        { zone: instance.zone, prefixHashes, exclude: new Set(), exclusive: false },
        { random, prefixIndex: instance.prefixIndex, options },
      ),
  };
}

/** The policy under test first, then the baselines. */
export const choicePolicies: Record<string, ChoiceContender> = {
  policy: createChooser(),
  'round robin': { followCaches: false, create: createRoundRobin },
  random: { followCaches: false, create: createRandomChoice },
  'least outstanding': { followCaches: false, create: createLeastOutstanding },
};
