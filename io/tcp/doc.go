// Package tcp listens and dials with a bound on open connections and with
// deadlines that move on with each read and write, so that a long stream lives
// as long as it makes progress.
package tcp
