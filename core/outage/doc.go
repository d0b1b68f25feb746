// Package outage tells when something that a process rests on is lost and when it is back.
package outage
