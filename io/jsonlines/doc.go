// Package jsonlines writes log lines as JSON to a stream that may stall, such as a pipe to a collector: writers never
// wait, lines wait within bounds, and those that find no room are counted by class.
package jsonlines
