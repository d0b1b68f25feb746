// Package routing chooses, at an entry, the target of a request.
//
// A Router holds the list of a service's targets and tracks the load of a bounded
// sample of them: a subset that differs between entries, and the targets that
// prefixes map to. It predicts each candidate's completion from its newest report,
// corrected for age and for requests that this entry sent after the report was made.
// It never chooses a target that is leaving, is ejected or serves another model.
//
// A Router is a state machine without a clock and is not safe for concurrent use.
package routing
