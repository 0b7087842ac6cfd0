package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Totals is the use of many routers by customers. The customers that ask for most are told
// one by one, the others by their number and sum, so that its size does not grow with the
// customers.
type Totals struct {
	Usage map[Hash]Usage
	// OtherCustomers is the number of further customers, OtherUsage is their use together.
	OtherCustomers int
	OtherUsage     Usage
	// AsOf is when the oldest part was true.
	AsOf time.Time
}

// totalsFor is how long totals are used.
const totalsFor = useWindow

// Add adds other totals. A customer that is told one by one in only one of them lacks there
// what the other counts among the rest, which is less than the least that it tells of.
func (t *Totals) Add(o Totals) {
	if t.Usage == nil {
		t.Usage = make(map[Hash]Usage, len(o.Usage))
		t.AsOf = o.AsOf
	}
	useSums(t.Usage).add(o.Usage)
	t.OtherCustomers = max(t.OtherCustomers, o.OtherCustomers)
	t.OtherUsage.add(o.OtherUsage, 1)
	if o.AsOf.Before(t.AsOf) {
		t.AsOf = o.AsOf
	}
}

// Trim counts all but the customers that ask for most among the rest.
func (t *Totals) Trim(most int) {
	if len(t.Usage) <= most {
		return
	}
	ranked := slices.SortedFunc(maps.Keys(t.Usage), func(a, b Hash) int {
		x, y := t.Usage[a], t.Usage[b]
		return cmp.Or(cmp.Compare(y.Requested, x.Requested), cmp.Compare(y.CallsRequested, x.CallsRequested), cmp.Compare(a, b))
	})
	t.OtherCustomers = max(t.OtherCustomers, len(ranked)-most)
	uses := make(map[Hash]Usage, most) // others may have the one before
	for i, h := range ranked {
		if i < most {
			uses[h] = t.Usage[h]
		} else {
			t.OtherUsage.add(t.Usage[h], 1)
		}
	}
	t.Usage = uses
}

// compared returns the uses by which customers are compared: those of the totals, of which
// this router's own may be newer, and an equal part of the rest for each of the others.
func (t *Totals) compared(own map[Hash]Usage) map[Hash]Usage {
	uses := maps.Clone(t.Usage)
	others := t.OtherCustomers
	for h, u := range own {
		known, ok := uses[h]
		if !ok {
			others--
		}
		uses[h] = most(known, u)
	}
	if others <= 0 {
		return uses
	}
	mean := Usage{Requested: t.OtherUsage.Requested / others, Served: t.OtherUsage.Served / others, CallsRequested: t.OtherUsage.CallsRequested / others, CallsServed: t.OtherUsage.CallsServed / others}
	for i := range others {
		uses[Hash(i)] = mean // no customer's, by all chance
	}
	return uses
}

// most returns the larger one of each count.
func most(a, b Usage) Usage {
	return Usage{
		Requested: max(a.Requested, b.Requested), Served: max(a.Served, b.Served),
		CallsRequested: max(a.CallsRequested, b.CallsRequested), CallsServed: max(a.CallsServed, b.CallsServed),
	}
}

// SetTotals takes the use of the whole fleet by customers. While it is new, it counts in
// place of what routers tell each other.
func (p *Placer) SetTotals(t Totals) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.totals == nil || p.totals.AsOf.Before(t.AsOf) {
		p.totals = &t
	}
}

// TotalsSince sums up the use of this router and of those that told it theirs since a time.
func (p *Placer) TotalsSince(since time.Time) Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	t := Totals{Usage: p.ownUses(now), AsOf: now}
	for _, r := range p.peers {
		if len(r.uses) > 0 && !r.usesAt.Before(since) {
			t.Add(Totals{Usage: r.uses, AsOf: r.usesAt})
		}
	}
	return t
}
