// Package suspect prevents requests that crash targets from crashing more of them.
//
// Blame attributes crashes to what the requests in flight have in common: a whole
// request, or a part of its prompt. Gateways use it.
//
// Set counts for each request's fingerprint the crashes at which the request was in
// flight. A target runs at most one suspect at a time, and a fingerprint is refused
// after its second crash. Entries and sidecars use it.
//
// Both merge without coordination, so that processes may exchange what they know in
// any order and any number of times.
package suspect
