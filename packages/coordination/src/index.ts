/** Coordination parts over a versioned object store, usable without the daemon. */
export type { StoreFault } from './memoryObjectStore.js';
export { MemoryObjectStore } from './memoryObjectStore.js';
export type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchEvent,
} from './objectStore.js';

export { exportBills } from './billBatches.js';
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
export type { QuotaLeaseOptions } from './quotaLease.js';
export { QuotaLease } from './quotaLease.js';
