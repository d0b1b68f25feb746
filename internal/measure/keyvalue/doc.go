// Command keyvalue counts the calls that a running system makes to the key-value
// service: in the steady state, and for each change of the configuration, against
// the number of entries and of targets. It prints a Markdown table.
package main
