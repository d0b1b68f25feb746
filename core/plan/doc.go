// Package plan holds the plan record of a service, the authority that writes it
// and the rules by which a process may act on it.
package plan
