package main

import (
	"fmt"
	"time"
)

// The services and the routes of the configuration, with the figures of sites/tanzplan-fleet.toml.
const (
	engineService = "seny25a"
	plainService  = "ziti2b"
	replanPath    = "/pufi791/2f"
	queryPath     = "/lohu930/2f"
	bookingPath   = "/pule252/2f"
	rosterPath    = "/puxa403/2f"

	replanDeadline  = 6000 * time.Millisecond
	queryDeadline   = 4000 * time.Millisecond
	bookingDeadline = 1500 * time.Millisecond
	rosterDeadline  = 1500 * time.Millisecond
)

// configuration is the operator's configuration.
type configuration struct {
	version int
	// extra is the number of routes added to the usual ones.
	extra int
	// rosterService is the service of roster-read.
	rosterService string
}

func (c *configuration) encode() map[string]any {
	routes := []map[string]any{
		{
			"name": "r-replan", "host": host, "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 6000,
			"targetLatencyMs": 800, "priority": 1, "service": engineService, "maxAttempts": 1, "sticky": true,
			"resumable": false, "gapAimMs": 300,
		},
		{
			"name": "r-query", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 4000,
			"targetLatencyMs": 400, "priority": 0, "service": engineService, "maxAttempts": 2, "sticky": true,
			"resumable": true, "gapAimMs": 300,
		},
		{
			"name": "r-booking", "host": host, "pathPrefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 800,
			"targetLatencyMs": 100, "priority": 2, "service": plainService, "maxAttempts": 1, "sticky": false, "resumable": false,
		},
		{
			"name": "r-roster", "host": host, "pathPrefix": "/puxa403/", "kind": "idempotent", "timeoutMs": 800,
			"targetLatencyMs": 100, "priority": 2, "service": c.rosterService, "maxAttempts": 2, "sticky": false, "resumable": false,
		},
	}
	for i := range c.extra {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-extra%05d", i), "host": host, "pathPrefix": fmt.Sprintf("/extra%05d/", i), "kind": "idempotent",
			"timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": plainService, "maxAttempts": 2, "sticky": false,
			"resumable": false,
		})
	}
	return map[string]any{
		"version": c.version,
		"routes":  routes,
		"services": []map[string]any{
			{
				"name": engineService, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": engineSlots, "kvTokens": 435004, "kvTokenBytes": 35136, "linkMbps": 270000.0, "moves": true,
					"backups": true, "stride": 7, "most": 12, "handleTtlS": 5.0, "roleSwitchS": 3.0, "pinMs": 4000.0,
					"holdMs": 2000.0, "models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": movedService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
			{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
			"idleTimeoutMs": idleTimeout.Milliseconds(),
		},
	}
}
