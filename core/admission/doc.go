// Package admission decides, next to one target, which requests run, wait or are refused.
//
// A Controller starts the request with the earliest feasible deadline first.
// Requests are delayed in proportion to the running requests of their workspace,
// so that no workspace starves others. A request that cannot meet its deadline is
// refused immediately as notRun with a computed Retry-After. Long prefills are
// limited, memory blocks are reserved for quick requests, and a draining
// controller refuses all new requests.
//
// A Controller is a state machine without a clock. Its owner calls Offer, FirstToken,
// Done and Cancel, then Next until it returns false, and Next again at the time
// returned by Wake. It is not safe for concurrent use.
package admission
