// Package server is the HTTP server of the stand-ins. Its fault switches refuse
// connections for some time, delay requests, and lose requests or responses.
package server
