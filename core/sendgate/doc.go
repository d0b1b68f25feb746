// Package sendgate decides whether a request may be sent to a target, from what targets state about themselves in
// responses: a limit on the requests of all processes of the fleet together, that they leave, or that they want no
// requests of this process for some time.
//
// The load pattern is a target in need, at a time when each process sends it several times as many requests as it
// accepts. A limit belongs to one process, its owner, which is found by rendezvous hashing; large limits are divided
// among several. A process that wants to send a request requests a token from the owner, and the response says when to
// request it again if there is none, so that a limit is used by whichever process has requests and the number of messages does not grow with the
// fleet. An owner that does not respond is replaced by the next one.
//
// Every send passes the gate at the time when its target is chosen, so that a statement also applies to requests that
// waited or ran elsewhere in the meantime.
package sendgate
