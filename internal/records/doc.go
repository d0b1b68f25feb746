// Package records keeps a process's copy of the accepted configuration and plans. It exchanges records with other
// processes using core/gossip, reads them from the key-value service, and watches the service on a few entries.
package records
