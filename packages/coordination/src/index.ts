/** Coordination components on top of a versioned object store, usable without the server. */
// Object API, configuration, sessions and leases.
export type { ConfigKind, ConfigMessage } from './configObjects.js';
export { configKinds, formatCascadeName, formatConfigValue } from './configObjects.js';
export type { ConfigListener, ConfigReplicaOptions } from './configReplica.js';
export { ConfigReplica } from './configReplica.js';
export type { HttpObjectStoreOptions } from './httpObjectStore.js';
export { HttpObjectStore } from './httpObjectStore.js';
export type { HeldLease, TrackedLease } from './heldLease.js';
export type { LeaseHeldByOther, LeaseOptions } from './lease.js';
export { Lease } from './lease.js';
export type { StoreFault } from './memoryObjectStore.js';
export { MemoryObjectStore } from './memoryObjectStore.js';
export type {
  ObjectList,
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchEvent,
} from './objectStore.js';
export type {
  OrderAnswer,
  OrderFailure,
  OrderSenderOptions,
  OrderState,
  OrderTransport,
  SendContext,
} from './orderSender.js';
export { OrderSender } from './orderSender.js';
export type { FetchConfigCall, PeerFollowerOptions, PeerProblem } from './peerFollower.js';
export { answerFetchConfig, PeerFollower } from './peerFollower.js';
export type { Session, SessionTokensOptions } from './sessionTokens.js';
export { SessionTokens } from './sessionTokens.js';
export type { StoreFollowerOptions } from './storeFollower.js';
export { StoreFollower } from './storeFollower.js';
export type { VersionPermits, VersionPermitState } from './versionPermit.js';
export { checkVersionPermit, defaultVersionPermits } from './versionPermit.js';
export type { EditOptions, JsonObject, WriteOptions } from './writeWithReadBack.js';
export { editObject, getChangeId, writeWithReadBack } from './writeWithReadBack.js';

export { exportBills } from './billSegments.js';
export type { BillCopier, BillingJournalOptions, UnnumberedBill } from './billingJournal.js';
export { BillingJournal } from './billingJournal.js';
export type { ClaimJournalOptions } from './claimJournal.js';
export { ClaimJournal } from './claimJournal.js';
export type { Claim, ClaimDecision } from './claimOperations.js';
export type { MemberTimeouts } from './memberTable.js';
export type { MembershipOptions } from './membership.js';
export { Membership } from './membership.js';
export type { ExchangeTransport, MembershipTaskOptions } from './membershipTask.js';
export { MembershipTask } from './membershipTask.js';
export { InstanceDirectory } from './instanceDirectory.js';
export type { QuotaLeaseOptions } from './quotaLease.js';
export { QuotaLease } from './quotaLease.js';
