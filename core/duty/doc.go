// Package duty decides which process alone may make certain calls, and with which fencing token.
//
// The duty is a key of the key-value service attached to a lease. A Machine acquires, keeps and releases the key, and
// states whether a call may start now. The right to act ends before the lease does: it is counted from before the
// renewal was sent. Renewals do not name the era of the service, so a holder also reads its key within each TTL. Should
// the service return to an older copy unnoticed, the holder stops within TTL, and nobody acts in the new era before.
package duty
