// Package trail collects the decisions on each request until the request ends. The log keeps all decisions on failed
// requests, and under load only those on a sample of the successful ones. Sampling is by the hash of the request's ID, so
// that the processes that handle a request make the same choice as far as their loads allow.
package trail
