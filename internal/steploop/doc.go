// Package steploop lets a goroutine sleep until a given time or a notification, whichever comes first.
package steploop
