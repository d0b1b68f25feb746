// Package server is the HTTP server that the stand-ins share. It can refuse
// connections for a while, answer slowly, and lose answers after their effect.
package server
