// Package suspect keeps requests that crash targets from crashing more of them:
// it counts the crashes that each request's fingerprint was in flight at, sends
// suspects one to a target, and refuses a fingerprint after its second crash.
//
// The set merges without coordination, so that processes may exchange their
// records in any order and any number of times.
package suspect
