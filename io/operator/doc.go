// Package operator defines the calls that operators make to entries: the status
// of the fleet, the burn rates of the objectives, and the clearing of a crash
// suspect.
package operator
