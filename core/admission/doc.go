// Package admission decides, beside one target, which requests run, wait or are refused.
//
// A Controller takes the earliest feasible deadline first. Requests are put back in
// proportion to what their workspace runs already, so that none starves others.
// What can't be answered in time any more is refused at once as notRun with a
// computed Retry-After. Long prefills are bounded, memory pieces are reserved for
// quick requests, and a draining controller refuses all new work.
//
// A Controller is a state machine without a clock: its host calls Offer, FirstToken,
// Done and Cancel, then drains Next, and calls Next again at Wake. It is not safe
// for concurrent use.
package admission
