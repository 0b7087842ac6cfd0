// Package route is the routing table for callers' requests: routes by host and path, the services
// they lead to, the customers with their keys, and the limits of the deployment.
//
// New validates a complete Spec, and a Table never changes. A request keeps the Table it started
// with, except for the route's timeout, which follows the newest one.
//
// # Usage
//
//	t, err := route.New(spec)             // Errors, one for each invalid part
//	r := t.Match("api.example", "/a/b")   // nil: no such route
//	c := t.Customer(key)                  // nil: unknown key
//	service := r.Pick(rand.IntN)
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind determines whether requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// Once requests run at most once.
	Once Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream responses are a series of events; their requests run at most once unless the route is
	// resumable.
	Stream
)

var kindNames = [...]string{"once", "repeatable", "stream"}

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Split is the weight of a service in the traffic of a route.
type Split struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective: the time to the complete response, for streams to the
	// first event, within which a response is most valuable.
	Objective time.Duration
	// EventGap is the maximum pause between events for a stream to count as in time.
	EventGap time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	Splits   []Split
	// MaxAttempts is the maximum number of targets that a request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another target.
	Resumable bool
	// Regions are the regions in which requests may run and leave data in memory; nil allows all.
	Regions []string

	weights int
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// LeadsTo reports whether requests of the route may reach a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Pick returns a service by the weights of the splits. Draw returns a random number below its
// argument.
func (r *Route) Pick(draw func(int) int) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	at := draw(r.weights)
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the number of tokens that the memory of one engine holds.
	CacheTokens int
	// CopyRate is the number of tokens per second whose memory one engine copies from another; 0
	// if engines do not copy.
	CopyRate float64
	// BackupRate is the number of tokens per second whose state one engine copies to another while
	// it runs a request; 0 if engines make no backups.
	BackupRate float64
	// EventCalls is the number of calls for cache events that one engine holds; 0 if it has none.
	EventCalls int
}

// Service is a group of equivalent targets.
type Service struct {
	Name string
	// HealthPath is the page on which a target reports its ID and whether it is healthy, StatusPath the
	// one on which it reports its state without taking a slot; empty if it has none.
	HealthPath string
	StatusPath string
	// MaxConns is the number of connections that one target accepts from all
	// routers together.
	MaxConns int
	// WarmUpRate is the number of requests per second that a target can take just after its start;
	// 0 if it can take as many as later.
	WarmUpRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is the party that pays for requests.
type Customer struct {
	Name     string
	Priority int
	Keys     []string
	// Regions are the regions in which its requests may run and leave data in memory; nil allows
	// all.
	Regions []string
}

// Limits are limits of the whole deployment.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// TokensPerSecond is the throughput of all engines together; an input token counts once, an
	// output token counts OutputTokenCost times. 0 means unknown.
	TokensPerSecond float64
}

// OutputTokenCost is the cost of an output token in input tokens, as used in the deployment's
// TokensPerSecond.
const OutputTokenCost = 2

// Spec is the content of a table before validation.
type Spec struct {
	Version   uint64
	Routes    []*Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Table is a validated, immutable Spec.
type Table struct {
	Spec

	byHost    map[string][]*Route
	byName    map[string]*Route
	services  map[string]*Service
	customers map[string]*Customer
}

// Error describes an invalid part of a Spec.
type Error struct {
	Part   string
	Reason string
}

// Error returns the part and the reason.
func (e *Error) Error() string { return e.Part + ": " + e.Reason }

// Errors holds an error for each invalid part of a Spec.
type Errors []*Error

// Error returns the first errors and the number of the others.
func (es Errors) Error() string {
	const shown = 3
	var lines []string
	for _, e := range es[:min(shown, len(es))] {
		lines = append(lines, e.Error())
	}
	if more := len(es) - shown; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "; ")
}

// New validates a Spec and returns its table, which owns the Spec from then on.
func New(s Spec) (*Table, error) {
	t := &Table{
		Spec: s, byHost: make(map[string][]*Route), byName: make(map[string]*Route),
		services: make(map[string]*Service), customers: make(map[string]*Customer),
	}
	var errs Errors
	fail := func(part, reason string) { errs = append(errs, &Error{Part: part, Reason: reason}) }
	if s.Version == 0 {
		fail("version", "must be at least 1")
	}
	t.addServices(fail)
	t.addCustomers(fail)
	t.addRoutes(fail)
	if len(errs) > 0 {
		return nil, errs
	}
	return t, nil
}

func (t *Table) addServices(fail func(part, reason string)) {
	for i := range t.Services {
		s := &t.Services[i]
		if s.Name == "" {
			fail(fmt.Sprintf("service %d", i), "has no name")
		}
		if t.services[s.Name] != nil {
			fail("service "+s.Name, "is defined twice")
		}
		if s.Engine != nil && s.Engine.Slots < 1 {
			fail("service "+s.Name, "engine has no slots")
		}
		t.services[s.Name] = s
	}
}

func (t *Table) addCustomers(fail func(part, reason string)) {
	for i := range t.Customers {
		c := &t.Customers[i]
		if c.Name == "" {
			fail(fmt.Sprintf("customer %d", i), "has no name")
		}
		for _, key := range c.Keys {
			if other := t.customers[key]; other != nil && other != c {
				fail("customer "+c.Name, "shares a key with "+other.Name)
			}
			t.customers[key] = c
		}
	}
}

func (t *Table) addRoutes(fail func(part, reason string)) {
	for _, r := range t.Routes {
		part := "route " + r.Name
		if t.byName[r.Name] != nil {
			fail(part, "is defined twice")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fail(part, "prefix must begin and end with a slash")
		}
		if r.Timeout <= 0 {
			fail(part, "time limit must be more than 0")
		}
		if r.MaxAttempts < 1 {
			fail(part, "attempts must be at least 1")
		}
		t.addSplits(r, func(reason string) { fail(part, reason) })
		t.byName[r.Name] = r
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

func (t *Table) addSplits(r *Route, fail func(reason string)) {
	r.weights = 0
	for _, s := range r.Splits {
		if t.services[s.Service] == nil {
			fail("leads to unknown service " + s.Service)
		}
		if s.Weight < 0 {
			fail("negative weight")
		}
		r.weights += s.Weight
	}
	if r.weights <= 0 {
		fail("leads to no service")
	}
}

// Match returns the route of a host with the longest prefix of the path, or nil. A port in the
// host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route returns the route with a name, or nil.
func (t *Table) Route(name string) *Route { return t.byName[name] }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the customer with a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }
