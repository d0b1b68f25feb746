// Package workspace decides on whose behalf a caller sends a request, from the key in the request and the keys of a configuration.
package workspace
