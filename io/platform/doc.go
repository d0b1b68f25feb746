// Package platform reads the platform's list of running and leaving instances over HTTP. The list lags behind the
// actual state.
package platform
