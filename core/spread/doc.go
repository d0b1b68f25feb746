// Package spread carries accepted records between the processes of the system,
// so that the calls of the key-value service do not grow with the fleet.
//
// Nothing is decided here: a record enters the system only as the key-value
// service returned it, and a process takes only a higher revision of it. Two
// processes compare a sum over their revisions, and on a difference swap
// digests and bodies; a body is compressed against the revision that the
// receiver holds where the sender still has that one.
package spread
