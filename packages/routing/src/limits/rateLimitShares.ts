/** An upstream that names the rate of requests that it takes from all instances together. */
export interface LimitedUpstream {
  id: string;
  zone: string;
  requestsPerSecond: number;
}

/** The running instances, among which the limits of upstreams are divided. */
export interface InstanceGroup {
  /** Number of instances by zone, this one included. */
  countByZone: Readonly<Record<string, number>>;
  /** Zone of this instance. */
  zone: string;
  /** Rank of this instance by name among those of its zone, from 0. */
  index: number;
}

/** The rate of an instance or upstream that is not assigned yet. */
interface Portion {
  id: string;
  zone: string;
  requestsPerSecond: number;
}

/**
 * Smallest share of an instance, in requests per second. Each instance with a share may save up one
 * request, so many small shares would allow bursts.
 */
const MIN_SHARE_PER_S = 0.5;
/** Rest of a rate that counts as nothing, in requests per second. */
const MIN_REST_PER_S = 1e-9;

function formatInstance(zone: string, index: number): string {
  return `${zone}/${index}`;
}

function comparePortions(a: Portion, b: Portion): number {
  if (a.zone !== b.zone) return a.zone < b.zone ? -1 : 1;
  return a.id < b.id ? -1 : 1;
}

/** Chooses the instances that get a share, evenly from the list of all. */
function chooseHolders(group: InstanceGroup, totalPerSecond: number): Portion[] {
  const instances = Object.keys(group.countByZone)
    .sort()
    .flatMap((zone) =>
      Array.from({ length: group.countByZone[zone]! }, (_, index) => ({
        id: formatInstance(zone, index),
        zone,
      })),
    );
  const maxHolders = Math.max(1, Math.floor(totalPerSecond / MIN_SHARE_PER_S));
  const count = Math.min(instances.length, maxHolders);
  const countBefore = (index: number) => Math.floor((index * count) / instances.length);
  return instances
    .filter((_, index) => countBefore(index + 1) > countBefore(index))
    .map((instance) => ({ ...instance, requestsPerSecond: totalPerSecond / count }));
}

/**
 * Assigns the rates of upstreams to holders in the order of both lists until one of the lists is
 * used up, and subtracts what it has assigned.
 */
function assignInOrder(
  upstreams: readonly Portion[],
  holders: readonly Portion[],
  assign: (holder: Portion, upstream: Portion, requestsPerSecond: number) => void,
): void {
  let next = 0;
  for (const upstream of upstreams) {
    while (upstream.requestsPerSecond > MIN_REST_PER_S && next < holders.length) {
      const holder = holders[next]!;
      const rate = Math.min(upstream.requestsPerSecond, holder.requestsPerSecond);
      if (rate > 0) assign(holder, upstream, rate);
      upstream.requestsPerSecond -= rate;
      holder.requestsPerSecond -= rate;
      if (holder.requestsPerSecond <= MIN_REST_PER_S) next += 1;
    }
  }
}

/**
 * Divides the limits of upstreams that can replace each other among the instances and returns the rates, in
 * requests per second by upstream, of this instance. All instances that know the same limits and the
 * same group come to the same division without asking each other, and their rates add up to the
 * limits.
 *
 * Serves a load that exceeds what the upstreams take. Each instance gets the same rate in total,
 * first of upstreams in its zone. It gets it of few upstreams and not a little of each: a small rate
 * at many upstreams cannot be used by requests that come one at a time.
 */
export function computeRateShares(
  upstreams: readonly LimitedUpstream[],
  group: InstanceGroup,
): Map<string, number> {
  const total = upstreams.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
  const rests = upstreams.map((upstream) => ({ ...upstream })).sort(comparePortions);
  const holders = chooseHolders(group, total);
  const self = formatInstance(group.zone, group.index);
  const shares = new Map<string, number>();
  const assign = (holder: Portion, { id }: Portion, requestsPerSecond: number) => {
    if (holder.id === self) shares.set(id, (shares.get(id) ?? 0) + requestsPerSecond);
  };
  const isIn = (zone: string) => (portion: Portion) => portion.zone === zone;
  for (const zone of Object.keys(group.countByZone)) {
    assignInOrder(rests.filter(isIn(zone)), holders.filter(isIn(zone)), assign);
  }
  assignInOrder(rests, holders, assign);
  return shares;
}
