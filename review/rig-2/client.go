package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	host = "archive.example"
	key  = "asnmgkcuyj8pjbvk9m68"
)

// config is a configuration as the operator writes it.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "record", "host": host, "pathPrefix": "/record/", "kind": "non_idempotent", "timeoutMs": 20000, "targetLatencyMs": 150, "priority": 1, "service": "app", "maxAttempts": 1, "public": false},
			map[string]any{"name": "lookup", "host": host, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 20000, "targetLatencyMs": 150, "priority": 1, "service": "app", "maxAttempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokens_per_s": 430000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	}
}

// dial connects as a client does.
func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, time.Second)
}

// send writes a request.
func send(c net.Conn, method, path, id, body string, deadline time.Duration) error {
	return sendKey(c, method, path, id, body, key, deadline)
}

// sendKey writes a request with a key.
func sendKey(c net.Conn, method, path, id, body, key string, deadline time.Duration) error {
	var length string
	if body != "" || method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nAuthorization: Bearer %s\r\n%s\r\n%s",
		method, path, host, id, deadline.Milliseconds(), key, length, body)
	return err
}
