// Package steploop lets a goroutine sleep until a time of the timer service or
// until it is notified, whichever comes first.
package steploop
