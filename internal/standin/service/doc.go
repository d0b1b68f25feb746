// Package service is a stand-in for a plain service that takes bookings. It
// records each run of a request, so that a double or a lost run shows.
package service
