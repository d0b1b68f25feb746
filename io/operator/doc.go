// Package operator carries the operators' questions to entries: how the fleet
// stands, how fast the objectives burn, and the lifting of a crash suspect.
package operator
