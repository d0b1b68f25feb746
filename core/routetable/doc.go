// Package routetable matches requests to the routes of the newest configuration.
package routetable
