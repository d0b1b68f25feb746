// Package config defines the operators' configuration record: its types, its validation
// and the edits that turn one accepted record into the next.
package config
