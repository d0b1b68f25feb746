// Package routetable finds the route of a request in the operators' newest configuration.
package routetable
