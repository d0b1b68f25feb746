// Command keyvalue counts the calls of a running system to the key-value service,
// in the steady state and per change of the configuration, for several numbers of
// entries and targets. It prints a Markdown table.
package main
