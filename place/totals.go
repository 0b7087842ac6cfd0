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
	Uses map[Hash]Use
	// Others is the number of further customers, Rest is their use together.
	Others int
	Rest   Use
	// At is when the oldest part was true.
	At time.Time
}

// totalsFor is how long totals are used.
const totalsFor = useWindow

// Add adds other totals. A customer that is told one by one in only one of them lacks there
// what the other counts among the rest, which is less than the least that it tells of.
func (t *Totals) Add(o Totals) {
	if t.Uses == nil {
		t.Uses = make(map[Hash]Use, len(o.Uses))
		t.At = o.At
	}
	useSums(t.Uses).add(o.Uses)
	t.Others = max(t.Others, o.Others)
	t.Rest.add(o.Rest, 1)
	if o.At.Before(t.At) {
		t.At = o.At
	}
}

// Trim counts all but the customers that ask for most among the rest.
func (t *Totals) Trim(most int) {
	if len(t.Uses) <= most {
		return
	}
	ranked := slices.SortedFunc(maps.Keys(t.Uses), func(a, b Hash) int {
		x, y := t.Uses[a], t.Uses[b]
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(y.CallsAsked, x.CallsAsked), cmp.Compare(a, b))
	})
	t.Others = max(t.Others, len(ranked)-most)
	uses := make(map[Hash]Use, most) // others may have the one before
	for i, h := range ranked {
		if i < most {
			uses[h] = t.Uses[h]
		} else {
			t.Rest.add(t.Uses[h], 1)
		}
	}
	t.Uses = uses
}

// compared returns the uses by which customers are compared: those of the totals, of which
// this router's own may be newer, and an equal part of the rest for each of the others.
func (t *Totals) compared(own map[Hash]Use) map[Hash]Use {
	uses := maps.Clone(t.Uses)
	others := t.Others
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
	mean := Use{Asked: t.Rest.Asked / others, Served: t.Rest.Served / others, CallsAsked: t.Rest.CallsAsked / others, CallsServed: t.Rest.CallsServed / others}
	for i := range others {
		uses[Hash(i)] = mean // no customer's, by all chance
	}
	return uses
}

// most returns the larger one of each count.
func most(a, b Use) Use {
	return Use{
		Asked: max(a.Asked, b.Asked), Served: max(a.Served, b.Served),
		CallsAsked: max(a.CallsAsked, b.CallsAsked), CallsServed: max(a.CallsServed, b.CallsServed),
	}
}

// SetTotals takes the use of the whole fleet by customers. While it is new, it counts in
// place of what routers tell each other.
func (p *Placer) SetTotals(t Totals) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.totals == nil || p.totals.At.Before(t.At) {
		p.totals = &t
	}
}

// NearTotals sums up the use of this router and of those that told it theirs since a time.
func (p *Placer) NearTotals(since time.Time) Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	t := Totals{Uses: p.ownUses(now), At: now}
	for _, r := range p.peers {
		if len(r.uses) > 0 && !r.usesAt.Before(since) {
			t.Add(Totals{Uses: r.uses, At: r.usesAt})
		}
	}
	return t
}
