// Package httpserver runs HTTP servers that stop without waiting for connections on which nothing is asked.
package httpserver
