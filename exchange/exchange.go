// Package exchange keeps the counters that routers tell each other: service
// delivered and requests queued and running, by pool and customer.
//
// Each router reports its own counters as totals since it started, so a lost,
// late or repeated report does no harm: the next one carries the same total or
// a later one. A report holds the counters that changed lately and, in turn, a
// few of the others.
//
// The package has no I/O and no clock. The control loop owns a Table.
//
// # Usage
//
//	b := exchange.New(exchange.Options{Repeats: 3, Rotate: 4, MaxEntries: 100})
//	b.SetLocal(key, counters)             // before each heartbeat
//	hb.Pools = b.Report()
//	observed := t.ApplyReports(host, hb.Pools) // service to charge
//
// # Limits
//
// Of a router that is first heard long after it started, only what it serves
// from then on is observed: its earlier service is already in the levels that
// a starting router fetches from its peers.
package exchange

import (
	"cmp"
	"slices"

	"zinccove.example/zinccove/fair"
	zinccovev1 "zinccove.example/zinccove/gen/zinccove/v1"
)

// Key names the counters of one customer in one pool.
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

// Demand is what one router wants of a pool for one customer.
type Demand struct {
	Host     string
	Customer fair.Customer
	Queued   uint32
	Running  uint32
}

// Options configure a book. All must be at least 1.
type Options struct {
	// Repeats is the number of reports that carry a changed counter.
	Repeats int
	// Rotate is the number of unchanged counters in each report.
	Rotate int
	// MaxEntries bounds the counters in a report.
	MaxEntries int
}

// Table holds the counters of this router and of all others. It is not safe
// for concurrent use.
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
	// fresh is the number of reports that still have to carry the entry.
	fresh int
}

// remote is what another router reported.
type remote struct {
	late    bool
	entries map[Key]Counters
}

// New returns an empty book.
func New(o Options) *Table {
	return &Table{options: o, local: make(map[Key]*localEntry), remotes: make(map[string]*remote)}
}

// SetLocal sets the counters of this router for a key.
func (b *Table) SetLocal(k Key, c Counters) {
	e := b.local[k]
	if e == nil {
		e = &localEntry{key: k}
		b.local[k] = e
		b.order = append(b.order, e)
	}
	if e.counters != c {
		e.counters = c
		e.fresh = b.options.Repeats
	}
}

// Report returns the counters for the next heartbeat: those that changed
// first, then some others in turn.
func (b *Table) Report() []*zinccovev1.PoolReport {
	chosen := b.changed()
	chosen = b.rotate(chosen)
	slices.SortFunc(chosen, func(x, y *localEntry) int {
		return cmp.Or(cmp.Compare(x.key.Pool, y.key.Pool), cmp.Compare(x.key.Customer, y.key.Customer))
	})
	return encode(chosen)
}

func (b *Table) changed() []*localEntry {
	var chosen []*localEntry
	n := len(b.order)
	for i := range n {
		e := b.order[(b.cursor+i)%n]
		if e.fresh == 0 {
			continue
		}
		if len(chosen) == b.options.MaxEntries {
			break
		}
		e.fresh--
		chosen = append(chosen, e)
	}
	return chosen
}

func (b *Table) rotate(chosen []*localEntry) []*localEntry {
	room := min(b.options.Rotate, b.options.MaxEntries-len(chosen), len(b.order))
	for range room {
		e := b.order[b.cursor%len(b.order)]
		b.cursor = (b.cursor + 1) % len(b.order)
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

// ResetHost forgets the counters of a host whose run changed. Late tells that
// the run had been going on for long when it was first heard.
func (b *Table) ResetHost(host string, late bool) {
	b.remotes[host] = &remote{late: late, entries: make(map[Key]Counters)}
}

// ApplyReports takes the report of a host, which ResetHost must have named, and
// returns the service in it that was not known yet. Reports must come in the
// order of their heartbeats; malformed ones are ignored.
func (b *Table) ApplyReports(host string, reports []*zinccovev1.PoolReport) []Observation {
	r := b.remotes[host]
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
			if cost := r.absorb(k, next); cost > 0 {
				observed = append(observed, Observation{Key: k, Cost: cost})
			}
		}
	}
	return observed
}

func (r *remote) absorb(k Key, next Counters) uint64 {
	last, known := r.entries[k]
	next.Served = max(next.Served, last.Served)
	r.entries[k] = next
	if !known && r.late {
		return 0
	}
	return next.Served - last.Served
}

// ClearDemand drops the demand of a host that is not reachable. Its service stays
// known, so that nothing is observed twice when it is heard again.
func (b *Table) ClearDemand(host string) {
	r := b.remotes[host]
	if r == nil {
		return
	}
	for k, c := range r.entries {
		r.entries[k] = Counters{Served: c.Served}
	}
}

// Forget removes all that is known of a host.
func (b *Table) Forget(host string) { delete(b.remotes, host) }

// Demands returns what the routers announced that they want of each pool, this
// one under the name self, ordered by host and customer so that every router
// computes alike.
func (b *Table) Demands(self string) map[uint32][]Demand {
	demands := make(map[uint32][]Demand)
	add := func(host string, k Key, c Counters) {
		if c.Queued > 0 || c.Running > 0 {
			demands[k.Pool] = append(demands[k.Pool], Demand{Host: host, Customer: k.Customer, Queued: c.Queued, Running: c.Running})
		}
	}
	for host, r := range b.remotes {
		for k, c := range r.entries {
			add(host, k, c)
		}
	}
	for k, e := range b.local {
		add(self, k, e.counters)
	}
	for _, ds := range demands {
		slices.SortFunc(ds, func(x, y Demand) int {
			return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Customer, y.Customer))
		})
	}
	return demands
}
