// Package records keeps a process's copy of the accepted configuration and
// plans: it hosts core/spread with the other processes as peers, and on a few
// entries it watches the key-value service.
package records
