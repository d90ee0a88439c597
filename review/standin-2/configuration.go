package main

import (
	"encoding/json"
	"time"
)

const (
	caseHost = "voka93.example"
	casePath = "/filo73/de11/"
	caseKey  = "jnbanfqasnmgkcuyj8pj"
	// stable is stableMs of the settings.
	stable = 3 * time.Second
)

// configuration returns a configuration with one route to one plain service. The tenant has the keys.
func configuration(version int, keys ...string) string {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-book", "host": caseHost, "pathPrefix": casePath, "kind": "unsafe", "timeoutMs": 600, "targetLatencyMs": 100,
			"priority": 2, "service": "wuno96b", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "bozi300", "apiKeys": append([]string{}, keys...), "priority": 1},
			map[string]any{"name": "jede795", "apiKeys": []string{"bvk9m68k7b2ex5wa5xwy"}, "priority": 1},
		},
	})
	return string(body)
}
