// Package plan defines the plan record of a service, the authority that writes it,
// and the checks that a process makes before it acts on a record.
package plan
