// Package targetlist keeps the targets that the platform's list names, through changes, gaps and outages of the service
// that holds the list.
//
// Entries may lapse while the service is away although their targets live, and are back soon after its return. A removal
// that shows up in that time is therefore held back for a grace period; any other counts at once.
package targetlist
