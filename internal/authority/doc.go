// Package authority runs one candidate for the authority over each engine service's plan on an entry, and writes the
// plans of the services whose authority the entry holds.
package authority
