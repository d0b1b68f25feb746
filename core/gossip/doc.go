// Package gossip replicates accepted records between the processes of the system, so that
// the load of the key-value service does not grow with the fleet.
//
// Records originate only from the key-value service, and a process replaces a record only
// by a higher revision. Two processes compare a hash over their revisions. If the hashes
// differ, they exchange digests and bodies. A body is sent as a delta against the revision
// that the receiver holds, if the sender still has that revision.
package gossip
