// Package stream assembles one caller's answer from the events of one or more
// attempts: late, repeated and foreign events are dropped, gaps are resumed, and
// the answer ends only by its regular end or an explicit failure.
package stream
