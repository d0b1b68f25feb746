// Package suspect prevents requests that crash targets from crashing more of them.
// For each request's fingerprint it counts the crashes at which the request was in
// flight. A target runs at most one suspect at a time, and a fingerprint is refused
// after its second crash.
//
// Sets merge without coordination, so that processes may exchange their records in
// any order and any number of times.
package suspect
