// Package ejection keeps requests from targets that give no answers.
//
// The load pattern is a crashed target that the platform still lists: it refuses each connection at once, so that to a rule
// that sees load alone it looks idle, and draws all requests to it.
package ejection
