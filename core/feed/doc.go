// Package feed decides which processes read the changes of the key-value service, and takes what these tell the others.
//
// In each availability zone the processes with the best ranks that reach the service read its changes and pass them on
// with their revisions. There is no election: a process reads by itself as long as it does not hear enough of better
// rank, so silence, cuts and lost messages lead back to the service. What is heard counts only where it continues the
// own revision.
package feed
