// Package drain takes a target or a process out of service without interrupting
// requests. New work is refused immediately, running work completes or moves, and
// a target whose drain is cancelled returns to service.
package drain
