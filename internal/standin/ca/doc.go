// Package ca is a stand-in of the platform's certificate authority: it issues
// certificates to processes and operators, and writes them into files.
package ca
