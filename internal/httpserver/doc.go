// Package httpserver runs HTTP servers that stop without waiting for connections without a running request.
package httpserver
