// Package ejection avoids targets that do not respond.
//
// It is needed for crashed targets that the platform still lists. They refuse connections immediately, so that they
// look idle if only their load counts, and attract all requests.
package ejection
