// Package service is a stand-in for a plain service that stores bookings. It
// records each run of a request, so that tests detect repeated and lost runs.
package service
