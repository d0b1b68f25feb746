// The quota measurement prints what workspaces get of their rates over many entries,
// in virtual time, and what the messages between entries cost over loopback.
package main
