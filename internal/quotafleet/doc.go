// Package quotafleet runs the rates of workspaces of some entries in virtual time.
// Its driver says when time passes and when messages arrive, are late or are lost;
// the state machines of core/quota and the measurements of internal/measure/quota
// both drive it.
package quotafleet
