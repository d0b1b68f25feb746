// Package quotafleet simulates the workspace rate limits of several entries in virtual time. Its driver advances time and
// decides which messages arrive, are late or are lost. It is used by the state machine tests of core/quota and by the
// measurements of internal/measure/quota.
package quotafleet
