// Package classify assigns a latency class, a deadline and an urgency to a request, and
// estimates its prompt and output tokens.
//
// The estimates come from histograms of fixed size per workspace and class. The least
// recently used workspace is evicted when the number of workspaces reaches its limit.
package classify
