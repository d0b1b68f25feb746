// Command quota measures the fraction of their rates that workspaces are granted
// across many entries, in virtual time, and the cost of a request for quota over
// loopback.
package main
