// Package platform reads the platform's lagging list of live and leaving
// instances over HTTP.
package platform
