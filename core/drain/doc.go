// Package drain takes a target or a process out of service without cutting a
// request: new work is refused at once, running work ends or moves, and a leave
// that is withdrawn brings the target back.
package drain
