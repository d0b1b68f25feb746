// Package config holds the operators' configuration record: its types, the
// checks of a record and the edits that lead from one accepted record to the next.
package config
