// Package ejection avoids targets that do not respond, or respond with failures.
//
// It is needed for crashed targets that the platform still lists, and for targets that fail requests at once. Both look idle
// if only their load counts, and attract all requests.
package ejection
