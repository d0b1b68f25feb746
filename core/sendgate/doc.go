// Package sendgate decides whether a request may be sent to a target, from what targets state about themselves in
// responses: a limit on the requests of all processes of the fleet together, that they leave, or that they want no
// requests of this process for some time.
//
// The load pattern is a target in need, at a time when each process sends it several times as many requests as it
// accepts. A process that has received a limit, from the target or from another process, sends only its share of it.
// Shares need no messages: the processes that may send to a target are the first ones of a rendezvous hash over all known
// processes, and each of them gets an equal part. They are few enough that one request of each at the same time stays
// within the target's tolerance.
//
// Every send passes the gate at the time when its target is chosen, so that a statement also applies to requests that
// waited or ran elsewhere in the meantime.
package sendgate
