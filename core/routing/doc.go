// Package routing chooses, at an entry, the target of a request.
//
// A Router knows the list of a service's targets and holds load for a bounded
// sample of them: a subset that differs between entries and the targets that
// prefixes map to. It predicts each candidate's completion from its newest report,
// corrected for age and for the entry's own sends that the report can't show, and
// never chooses a target that leaves, is ejected or serves another model.
//
// A Router is a state machine without a clock and is not safe for concurrent use.
package routing
