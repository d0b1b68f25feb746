// Package ca is a stand-in for the platform's certificate authority. It issues
// certificates to processes and operators, and writes them to files.
package ca
