// Package daemon holds the subcommands of waxwingpickd: they read a settings
// file, wire the adapters to a process and stop it on a signal.
package daemon
