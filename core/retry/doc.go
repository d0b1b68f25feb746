// Package retry decides whether a failed attempt is retried, and after which delay.
//
// A request is retried only if it did not run or may be repeated, within its deadline
// and within a budget that is a fraction of the traffic. While most attempts are refused
// because of overload, no overload refusal is retried.
package retry
