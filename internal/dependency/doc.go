// Package dependency logs when something that a process rests on is lost and when it is back, a line each.
package dependency
