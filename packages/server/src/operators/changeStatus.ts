import type { Membership, VersionPermits } from '@cactusstair/coordination';
import type {
  ChangeStatus,
  GetChangeRequest,
  InstanceRecord,
  MemberRecord,
  ZoneStatus,
} from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';

const SERVING_STATUSES: readonly MemberStatus[] = [
  MemberStatus.ALIVE,
  MemberStatus.SUSPECT,
  MemberStatus.LEAVING,
];

/**
 * Reports in which zones a change is in force.
 *
 * Acknowledgements come from the membership. The two deadlines hold without them: an instance that
 * confirms its configuration after the change was accepted has applied the change, and one that
 * does not confirm it may start no work once its permit has expired.
 *
 * @param records instances that the object API lists. They include zones whose summary has not
 * arrived yet; without the records such a zone would count as having applied every change.
 */
export function describeChange(
  request: GetChangeRequest,
  membership: Membership,
  records: readonly InstanceRecord[],
  permits: VersionPermits,
): ChangeStatus {
  const ownZone = membership.getSelf().zone;
  const own = describeOwnZone(ownZone, membership.getMembers(), request.revision);
  const others = membership
    .getZoneSummaries()
    .filter((summary) => summary.zone !== ownZone)
    .map((summary): ZoneStatus => {
      const inForce = summary.lowestAppliedRevision >= request.revision;
      return {
        zone: summary.zone,
        instancesInForce: inForce ? summary.alive : 0,
        instancesKnown: summary.alive,
        waitingFor: inForce
          ? []
          : summary.contacts
              .filter((member) => member.appliedRevision < request.revision)
              .map((member) => member.id),
      };
    });
  const reported = new Set([ownZone, ...others.map(({ zone }) => zone)]);
  const unreported = describeUnreportedZones(records.filter(({ zone }) => !reported.has(zone)));
  const zones = [own, ...others, ...unreported].sort((a, b) => (a.zone < b.zone ? -1 : 1));
  return {
    revision: request.revision,
    inForceEverywhere: zones.every((zone) => zone.instancesInForce === zone.instancesKnown),
    zones,
    candidateUntilMs: request.acceptedAtMs + permits.candidateMs,
    settledUntilMs: request.acceptedAtMs + permits.settledMs,
  };
}

/** Describes zones without a summary, whose applied revisions are unknown. */
function describeUnreportedZones(records: readonly InstanceRecord[]): ZoneStatus[] {
  const idsByZone = new Map<string, string[]>();
  for (const { zone, id } of records) idsByZone.set(zone, [...(idsByZone.get(zone) ?? []), id]);
  return [...idsByZone].map(([zone, ids]) => ({
    zone,
    instancesInForce: 0,
    instancesKnown: ids.length,
    waitingFor: ids,
  }));
}

function describeOwnZone(zone: string, members: MemberRecord[], revision: number): ZoneStatus {
  const known = members.filter(
    (member) => member.zone === zone && SERVING_STATUSES.includes(member.status),
  );
  const waiting = known.filter((member) => member.appliedRevision < revision);
  return {
    zone,
    instancesInForce: known.length - waiting.length,
    instancesKnown: known.length,
    waitingFor: waiting.map((member) => member.id),
  };
}
