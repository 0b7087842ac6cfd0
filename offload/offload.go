// Package offload hands requests over to other routers of a data centre.
//
// The balancer sends all requests of a caller to one router, so that a customer with few callers
// fills one small host while the others are idle. A router at its limits therefore forwards
// requests to a router with processor time left, which serves them as if the caller had
// connected to it, and passes the response on.
package offload
