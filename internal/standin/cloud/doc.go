// Package cloud is a stand-in for the users' platform's API, whose calls are the duty of one process at a time.
package cloud
