// Package platform is a stand-in for the platform's list of live and leaving
// instances. The served list can lag behind the current one by a set time.
package platform
