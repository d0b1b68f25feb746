// Package feed determines which processes read the changes of the key-value service, and applies the updates that these
// send to the other processes.
//
// In each availability zone, the highest ranked processes that reach the service act as relays: they read its changes
// and forward them with their revisions. There is no election. A process reads by itself unless it receives messages
// from enough processes of a higher rank, so failed relays, partitions and lost messages make it fall back to the
// service. An update is only applied if it continues the local revision.
package feed
