// Package operator holds the operators' commands: presets, leaving instances,
// status and the check of files. Each command exits with 0 when it is done, 1
// when it failed, 2 when it was called wrongly and 3 when another operator's
// change was accepted first.
package operator
