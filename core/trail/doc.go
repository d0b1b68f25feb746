// Package trail gathers the decisions on each request until its end is known, so that the log keeps all of a request
// that failed, and under load only a share of those that went well. The share is taken by the request's ID: each process
// that handled a request keeps it or leaves it out alike, as far as their loads allow.
package trail
