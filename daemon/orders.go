package daemon

import (
	"context"
	"slices"
	"strconv"
	"time"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/lease"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/order"
)

const (
	// orderInterval is the time between two passes over the targets that take orders.
	orderInterval = time.Second
	// leaseTTL is how long a router may send orders after it wrote the lease.
	leaseTTL = 6 * time.Second
	// maxCandidates is the number of routers of a data centre that compete for the lease;
	// it keeps the reads of the store from growing with the number of routers.
	maxCandidates = 3
)

// runOrders keeps the targets of this data centre that take orders in the
// declared state while this router holds the data centre's lease.
func (d *Daemon) runOrders(ctx context.Context) error {
	l := lease.New(lease.Options{
		Table: d.platform.Table(), Clock: d.clock, Name: "orders/" + d.settings.DataCentre,
		Holder: d.settings.Host + "/" + strconv.FormatUint(d.loop.contact.Incarnation, 16), TTL: leaseTTL, OrderTimeout: order.Timeout,
	})
	r := order.New(order.Options{Lease: l, Clock: d.clock, Dial: d.dial})
	held := false
	for {
		if targets := d.orderedTargets(); len(targets) > 0 && (held || d.candidate()) {
			if err := l.Step(ctx); err != nil {
				d.metrics.Inc(metric.PlatformErrors)
			}
			held = d.logLeaseChange(l, held)
			d.countOrders(r.Reconcile(targets))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(jittered(orderInterval)):
		}
	}
}

func (d *Daemon) orderedTargets() []config.Target {
	snap := d.syncer.Current()
	if snap == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snap.Config.Targets), func(t config.Target) bool {
		return !t.TakesOrders || t.DataCentre != d.settings.DataCentre
	})
}

// candidate reports whether this router is among the first maxCandidates reachable routers
// of its data centre, in the order of their hosts' names, and is not stopping.
func (d *Daemon) candidate() bool {
	earlier := 0
	for _, r := range d.loop.contact.Statuses() {
		if r.Reachable && !r.Leaving && r.DataCentre == d.settings.DataCentre && r.Host < d.settings.Host {
			earlier++
		}
	}
	return earlier < maxCandidates && !d.stopping.Load()
}

// logLeaseChange logs when the lease is acquired or lost and returns whether it is held now.
func (d *Daemon) logLeaseChange(l *lease.Lease, held bool) bool {
	number, now := l.Held()
	if now != held {
		d.log.Info().Uint64("number", number).Bool("held", now).Msg("lease for orders")
	}
	return now
}

func (d *Daemon) countOrders(r order.Result) {
	d.metrics.Add(metric.OrdersGiven, r.Sent)
	d.metrics.Add(metric.OrdersFenced, r.Fenced)
	d.metrics.Add(metric.OrdersFailed, r.Failed)
}
