// Package retry decides whether a failed attempt is tried again, and after which delay.
//
// Only what did not run, or may be repeated, is tried again, within the deadline and
// within a budget that is a fraction of the traffic. While most attempts are refused
// for overload, no overload refusal is tried again.
package retry
