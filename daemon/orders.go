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
	// orderPeriod is the time between looks at the targets that take orders.
	orderPeriod = time.Second
	// leaseTTL is how long a router may give orders after it wrote the lease.
	leaseTTL = 6 * time.Second
	// candidates is the number of routers of a data centre that ask for the
	// lease, so that the reads do not grow with the routers.
	candidates = 3
)

// giveOrders keeps the targets of this data centre that take orders in the
// declared state while this router holds the lease for it.
func (d *Daemon) giveOrders(ctx context.Context) error {
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
			held = d.noteLease(l, held)
			d.countOrders(r.Reconcile(targets))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(jittered(orderPeriod)):
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

// candidate reports whether this router is among the first of its data centre
// that are reachable.
func (d *Daemon) candidate() bool {
	earlier := 0
	for _, r := range d.loop.contact.Statuses() {
		if r.Reachable && !r.Leaving && r.DataCentre == d.settings.DataCentre && r.Host < d.settings.Host {
			earlier++
		}
	}
	return earlier < candidates && !d.stopping.Load()
}

// noteLease logs when the lease is taken or lost.
func (d *Daemon) noteLease(l *lease.Lease, held bool) bool {
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
