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

/** A policy under comparison, with the instance data that it uses. */
export interface ChoiceContender {
  /** Whether instances read the cache events of the engines. */
  usesCacheEvents: boolean;
  create: (instance: InstanceView, random: Random) => ChoicePolicy;
}

/** Creates the upstream chooser of the routing package; `options` replace its default settings. */
export function createChooser(options: ChooserOptions = {}): ChoiceContender {
  return {
    usesCacheEvents: true,
    create: (instance, random) => (views, prefixHashes) =>
      chooseUpstream(
        views,
        { zone: instance.zone, prefixHashes, exclude: new Set(), exclusive: false },
        { random, prefixIndex: instance.prefixIndex, options },
      ),
  };
}

/** The chooser under test, then the baselines. */
export const choicePolicies: Record<string, ChoiceContender> = {
  policy: createChooser(),
  'round robin': { usesCacheEvents: false, create: createRoundRobin },
  random: { usesCacheEvents: false, create: createRandomChoice },
  'least outstanding': { usesCacheEvents: false, create: createLeastOutstanding },
};
