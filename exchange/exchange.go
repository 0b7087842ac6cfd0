// Package exchange holds the counters that routers report to each other: service delivered and
// requests queued and running, by pool and customer.
//
// Each router reports its own counters as totals since it started, so a lost, delayed or repeated
// report does no harm: the next one carries the same total or a later one. A report holds the
// counters that changed recently and a few of the others in rotation.
//
// The package has no I/O and no clock. The control loop owns a Table.
//
// # Usage
//
//	t := exchange.New(exchange.Options{Repeats: 3, Rotate: 4, MaxEntries: 100})
//	t.SetLocal(key, counters)                  // before each heartbeat
//	hb.Pools = t.Report()
//	observed := t.ApplyReports(host, hb.Pools) // service to charge
//
// # Limits
//
// If the first heartbeat of a router arrives long after the router started, only what it serves
// from then on is observed: its earlier service is already in the levels that a starting router
// fetches from its peers.
package exchange

import (
	"cmp"
	"slices"

	"zinccove.example/zinccove/fair"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// Key identifies the counters of one customer in one pool.
type Key struct {
	Pool     uint32
	Customer fair.Customer
}

// Counters are one router's counters for a key.
type Counters struct {
	// Served is the cost charged since the router started.
	Served uint64
	// Queued is the number of requests waiting at the router.
	Queued uint32
	// Running is the number of the router's requests at targets.
	Running uint32
}

// Observation is service that another router delivered since its last report.
type Observation struct {
	Key  Key
	Cost uint64
}

// Demand is one router's demand for a pool on behalf of one customer.
type Demand struct {
	Host     string
	Customer fair.Customer
	Queued   uint32
	Running  uint32
}

// Options configure a Table. All must be at least 1.
type Options struct {
	// Repeats is the number of reports that carry a changed counter.
	Repeats int
	// Rotate is the number of unchanged counters in each report.
	Rotate int
	// MaxEntries bounds the counters in a report.
	MaxEntries int
}

// Table holds the counters of this router and of all others. It is not safe for concurrent use.
type Table struct {
	options Options
	local   map[Key]*localEntry
	order   []*localEntry
	cursor  int
	remotes map[string]*remote
}

type localEntry struct {
	key      Key
	counters Counters
	// sendsLeft is the number of reports that still have to carry the entry.
	sendsLeft int
}

// remote holds the counters that another router reported.
type remote struct {
	late    bool
	entries map[Key]Counters
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, local: make(map[Key]*localEntry), remotes: make(map[string]*remote)}
}

// SetLocal sets the counters of this router for a key.
func (t *Table) SetLocal(k Key, c Counters) {
	e := t.local[k]
	if e == nil {
		e = &localEntry{key: k}
		t.local[k] = e
		t.order = append(t.order, e)
	}
	if e.counters != c {
		e.counters = c
		e.sendsLeft = t.options.Repeats
	}
}

// Report returns the counters for the next heartbeat: first those that changed, then some of the
// others in rotation.
func (t *Table) Report() []*zinccovev1.PoolReport {
	chosen := t.changed()
	chosen = t.rotate(chosen)
	slices.SortFunc(chosen, func(x, y *localEntry) int {
		return cmp.Or(cmp.Compare(x.key.Pool, y.key.Pool), cmp.Compare(x.key.Customer, y.key.Customer))
	})
	return encode(chosen)
}

func (t *Table) changed() []*localEntry {
	var chosen []*localEntry
	n := len(t.order)
	for i := range n {
		e := t.order[(t.cursor+i)%n]
		if e.sendsLeft == 0 {
			continue
		}
		if len(chosen) == t.options.MaxEntries {
			break
		}
		e.sendsLeft--
		chosen = append(chosen, e)
	}
	return chosen
}

func (t *Table) rotate(chosen []*localEntry) []*localEntry {
	room := min(t.options.Rotate, t.options.MaxEntries-len(chosen), len(t.order))
	for range room {
		e := t.order[t.cursor%len(t.order)]
		t.cursor = (t.cursor + 1) % len(t.order)
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func encode(entries []*localEntry) []*zinccovev1.PoolReport {
	var reports []*zinccovev1.PoolReport
	for _, e := range entries {
		if n := len(reports); n == 0 || reports[n-1].Pool != e.key.Pool {
			reports = append(reports, &zinccovev1.PoolReport{Pool: e.key.Pool})
		}
		r := reports[len(reports)-1]
		r.Customers = append(r.Customers, uint32(e.key.Customer))
		r.Served = append(r.Served, e.counters.Served)
		r.Queued = append(r.Queued, e.counters.Queued)
		r.Running = append(r.Running, e.counters.Running)
	}
	return reports
}

// ResetHost removes the counters of a host whose incarnation changed. Late means that the
// incarnation had been running for long before its first heartbeat arrived.
func (t *Table) ResetHost(host string, late bool) {
	t.remotes[host] = &remote{late: late, entries: make(map[Key]Counters)}
}

// ApplyReports records the reports of a host and returns the service in them that was not known
// yet. ResetHost must have been called for the host. Reports must be applied in the order of their
// heartbeats; malformed ones are ignored.
func (t *Table) ApplyReports(host string, reports []*zinccovev1.PoolReport) []Observation {
	r := t.remotes[host]
	if r == nil {
		return nil
	}
	var observed []Observation
	for _, report := range reports {
		n := len(report.Customers)
		if len(report.Served) != n || len(report.Queued) != n || len(report.Running) != n {
			continue
		}
		for i, c := range report.Customers {
			k := Key{Pool: report.Pool, Customer: fair.Customer(c)}
			next := Counters{Served: report.Served[i], Queued: report.Queued[i], Running: report.Running[i]}
			if cost := r.update(k, next); cost > 0 {
				observed = append(observed, Observation{Key: k, Cost: cost})
			}
		}
	}
	return observed
}

func (r *remote) update(k Key, next Counters) uint64 {
	last, known := r.entries[k]
	next.Served = max(next.Served, last.Served)
	r.entries[k] = next
	if !known && r.late {
		return 0
	}
	return next.Served - last.Served
}

// ClearDemand removes the demand of an unreachable host. Its service stays recorded, so that none
// is observed twice when its reports arrive again.
func (t *Table) ClearDemand(host string) {
	r := t.remotes[host]
	if r == nil {
		return
	}
	for k, c := range r.entries {
		r.entries[k] = Counters{Served: c.Served}
	}
}

// Forget removes all counters of a host.
func (t *Table) Forget(host string) { delete(t.remotes, host) }

// Demands returns the demands that the routers announced, by pool. Those of this router are listed
// under the name self. They are ordered by host and customer so that all routers compute the same
// result.
func (t *Table) Demands(self string) map[uint32][]Demand {
	demands := make(map[uint32][]Demand)
	add := func(host string, k Key, c Counters) {
		if c.Queued > 0 || c.Running > 0 {
			demands[k.Pool] = append(demands[k.Pool], Demand{Host: host, Customer: k.Customer, Queued: c.Queued, Running: c.Running})
		}
	}
	for host, r := range t.remotes {
		for k, c := range r.entries {
			add(host, k, c)
		}
	}
	for k, e := range t.local {
		add(self, k, e.counters)
	}
	for _, ds := range demands {
		slices.SortFunc(ds, func(x, y Demand) int {
			return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Customer, y.Customer))
		})
	}
	return demands
}
