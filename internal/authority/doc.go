// Package authority runs, on an entry, one candidate for the authority over the
// plan of each engine service, and writes the plans of the services whose
// authority it holds.
package authority
