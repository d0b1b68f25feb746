// Package platform is a stand-in for the platform's list of live and leaving
// instances, which lags behind the truth by a settable time.
package platform
