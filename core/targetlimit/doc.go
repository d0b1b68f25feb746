// Package targetlimit bounds the requests that all processes of a fleet together send to targets that state a request
// limit.
//
// The load pattern is a target in need: it states in its responses how many requests per second it accepts, at a time
// when each process sends it several times as many. A process that has received the limit, from the target or from
// another process, sends only its share of it. Shares need no messages: the processes that may send to a target are the
// first ones of a rendezvous hash over all known processes, and each of them gets an equal part. They are few enough
// that one request of each at the same time stays within the target's tolerance.
package targetlimit
