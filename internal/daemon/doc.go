// Package daemon implements the subcommands of waxwingpickd. Each reads a settings
// file, creates a process with its adapters, and stops it on a signal.
package daemon
