// Package zoneshare decides which share of the requests for one service leaves a zone, and for which other zones.
//
// Each zone decides only on its own requests, from figures that all zones publish. Its gateways reach the same decision
// without agreement, since the decision depends only on the figures and on the times of the updates.
package zoneshare
