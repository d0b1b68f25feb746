// Package digest decides which processes of an availability zone sum up its load for the other zones, and to whom they
// send it.
//
// Each process takes the best ranked ones that it hears for the zone's, so nothing is agreed on: two that differ in what
// they hear only send more than needed, and one that is lost is replaced once it has been silent.
package digest
