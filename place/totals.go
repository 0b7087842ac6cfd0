package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Totals is the usage of many routers by customer. The customers that request the most are listed
// one by one, the others as a count and a sum, so that the size does not grow with the number of
// customers.
type Totals struct {
	Usage map[Hash]Usage
	// OtherCustomers is the number of further customers, OtherUsage their usage together.
	OtherCustomers int
	OtherUsage     Usage
	// AsOf is the time of the oldest part.
	AsOf time.Time
}

// totalsTTL is the time for which totals are used.
const totalsTTL = usageWindow

// Add adds other totals. If a customer is listed in only one of them, its usage in the other is
// missing from its entry, because it is included in the other's OtherUsage. That usage is smaller
// than the smallest listed there.
func (t *Totals) Add(o Totals) {
	if t.Usage == nil {
		t.Usage = make(map[Hash]Usage, len(o.Usage))
		t.AsOf = o.AsOf
	}
	usageSums(t.Usage).add(o.Usage)
	t.OtherCustomers = max(t.OtherCustomers, o.OtherCustomers)
	t.OtherUsage.add(o.OtherUsage, 1)
	if o.AsOf.Before(t.AsOf) {
		t.AsOf = o.AsOf
	}
}

// Trim keeps the customers that request the most, up to limit of them, and moves the others to
// OtherUsage.
func (t *Totals) Trim(limit int) {
	if len(t.Usage) <= limit {
		return
	}
	ranked := slices.SortedFunc(maps.Keys(t.Usage), func(a, b Hash) int {
		x, y := t.Usage[a], t.Usage[b]
		return cmp.Or(cmp.Compare(y.Requested, x.Requested), cmp.Compare(y.CallsRequested, x.CallsRequested), cmp.Compare(a, b))
	})
	t.OtherCustomers = max(t.OtherCustomers, len(ranked)-limit)
	uses := make(map[Hash]Usage, limit) // other goroutines may hold the previous map
	for i, h := range ranked {
		if i < limit {
			uses[h] = t.Usage[h]
		} else {
			t.OtherUsage.add(t.Usage[h], 1)
		}
	}
	t.Usage = uses
}

// comparableUsage returns the usage by which customers are compared: that of the totals, or of
// this router where its own is newer, and an equal part of OtherUsage for each of the other
// customers.
func (t *Totals) comparableUsage(own map[Hash]Usage) map[Hash]Usage {
	uses := maps.Clone(t.Usage)
	others := t.OtherCustomers
	for h, u := range own {
		known, ok := uses[h]
		if !ok {
			others--
		}
		uses[h] = maxUsage(known, u)
	}
	if others <= 0 {
		return uses
	}
	mean := Usage{Requested: t.OtherUsage.Requested / others, Served: t.OtherUsage.Served / others, CallsRequested: t.OtherUsage.CallsRequested / others, CallsServed: t.OtherUsage.CallsServed / others}
	for i := range others {
		uses[Hash(i)] = mean // very unlikely to be the hash of a customer
	}
	return uses
}

// maxUsage returns the larger value of each count.
func maxUsage(a, b Usage) Usage {
	return Usage{
		Requested: max(a.Requested, b.Requested), Served: max(a.Served, b.Served),
		CallsRequested: max(a.CallsRequested, b.CallsRequested), CallsServed: max(a.CallsServed, b.CallsServed),
	}
}

// SetTotals sets the usage of the whole fleet by customer. Until it expires, it replaces the
// reports of individual routers.
func (p *Placer) SetTotals(t Totals) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.totals == nil || p.totals.AsOf.Before(t.AsOf) {
		p.totals = &t
	}
}

// TotalsSince sums up the usage of this router and of those that reported theirs since a time.
func (p *Placer) TotalsSince(since time.Time) Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	t := Totals{Usage: p.ownUsage(now), AsOf: now}
	for _, r := range p.peers {
		if len(r.usage) > 0 && !r.usageAt.Before(since) {
			t.Add(Totals{Usage: r.usage, AsOf: r.usageAt})
		}
	}
	return t
}
