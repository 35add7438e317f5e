import type { Membership, VersionPermits } from '@cactusstair/coordination';
import type {
  ChangeStatus,
  GetChangeRequest,
  MemberRecord,
  ZoneStatus,
} from '@cactusstair/protocol';
import { MemberStatus } from '@cactusstair/protocol';

const SERVING: readonly MemberStatus[] = [
  MemberStatus.ALIVE,
  MemberStatus.SUSPECT,
  MemberStatus.LEAVING,
];

/**
 * Says where a change is in force.
 *
 * Acknowledgements come from the membership. The two deadlines need none: an instance that
 * confirms its configuration after the acceptance has the change, and one that does not may
 * start no work once the permit has passed.
 */
export function describeChange(
  request: GetChangeRequest,
  membership: Membership,
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
  const zones = [own, ...others].sort((a, b) => (a.zone < b.zone ? -1 : 1));
  return {
    revision: request.revision,
    inForceEverywhere: zones.every((zone) => zone.instancesInForce === zone.instancesKnown),
    zones,
    candidateUntilMs: request.acceptedAtMs + permits.candidateMs,
    settledUntilMs: request.acceptedAtMs + permits.settledMs,
  };
}

function describeOwnZone(zone: string, members: MemberRecord[], revision: number): ZoneStatus {
  const known = members.filter((member) => member.zone === zone && SERVING.includes(member.status));
  const waiting = known.filter((member) => member.appliedRevision < revision);
  return {
    zone,
    instancesInForce: known.length - waiting.length,
    instancesKnown: known.length,
    waitingFor: waiting.map((member) => member.id),
  };
}
