// Package stream assembles one caller's answer from the events of one or more
// attempts. It drops late, repeated and foreign events and resumes after gaps.
// The answer ends only with its last event or with an explicit failure.
package stream
