package waitlist

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// firstEvent returns a state in which each prompt gets its first event after a time.
func firstEvent(d time.Duration, idle bool) State {
	return State{Idle: idle, FirstEvent: func(int) time.Duration { return d }}
}

// entry can be placed for four seconds and is in time for one.
func entry(name string, change func(*Entry[string])) Entry[string] {
	e := Entry[string]{Limit: 500 * time.Millisecond, InTimeUntil: start.Add(time.Second), Expires: start.Add(4 * time.Second), Tokens: 100, Value: name}
	if change != nil {
		change(&e)
	}
	return e
}

func late(e *Entry[string]) { e.InTimeUntil = start }

// drain returns the names in the order in which they are placed at an idle target.
func drain(l *List[string], now time.Time) []string {
	var names []string
	for {
		e, ok := l.Next(firstEvent(10*time.Millisecond, true), now)
		if !ok {
			return names
		}
		names = append(names, e.Value)
	}
}

func TestOrder(t *testing.T) {
	entries := []Entry[string]{
		entry("first", nil),
		entry("later end", func(e *Entry[string]) { e.Expires = start.Add(5 * time.Second) }),
		entry("more served", func(e *Entry[string]) { e.Share = 0.5 }),
		entry("lower route", func(e *Entry[string]) { e.RoutePriority = 1 }),
		entry("lower customer", func(e *Entry[string]) { e.CustomerPriority = 1 }),
		entry("late", late),
		entry("late, lower customer", func(e *Entry[string]) { late(e); e.CustomerPriority = 1 }),
	}
	for seed := range uint64(20) {
		var l List[string]
		random := rand.New(rand.NewPCG(seed, 0))
		for _, i := range random.Perm(len(entries)) {
			assert.Assert(t, l.Add(entries[i], start))
		}
		var want []string
		for _, e := range entries {
			want = append(want, e.Value)
		}
		assert.DeepEqual(t, drain(&l, start), want)
		assert.Equal(t, l.Len(), 0)
	}
}

func TestEqualRequestsAreServedInOrderOfArrival(t *testing.T) {
	var l List[string]
	for _, name := range []string{"a", "b", "c"} {
		l.Add(entry(name, nil), start)
	}
	assert.DeepEqual(t, drain(&l, start), []string{"a", "b", "c"})
}

// TestLateRequestsWaitForAnIdleTarget has a target that is not idle and meets every limit: the late
// request must not delay those that can be in time.
func TestLateRequestsWaitForAnIdleTarget(t *testing.T) {
	var l List[string]
	l.Add(entry("late", late), start)
	_, ok := l.Next(firstEvent(10*time.Millisecond, false), start)
	assert.Assert(t, !ok)
	e, ok := l.Next(firstEvent(10*time.Millisecond, true), start)
	assert.Assert(t, ok && e.Value == "late")
}

// TestRequestsThatMayRunGoAheadOfThoseThatMayNot has a first request whose limit is not met.
func TestRequestsThatMayRunGoAheadOfThoseThatMayNot(t *testing.T) {
	var l List[string]
	l.Add(entry("limited", func(e *Entry[string]) { e.Limit = 100 * time.Millisecond; e.LimitOnly = true }), start)
	l.Add(entry("lower", func(e *Entry[string]) { e.CustomerPriority = 1 }), start)
	e, ok := l.Next(firstEvent(400*time.Millisecond, true), start)
	assert.Assert(t, ok && e.Value == "lower")
	_, ok = l.Next(firstEvent(400*time.Millisecond, true), start)
	assert.Assert(t, !ok, "placed within its limit only")
	_, ok = l.Next(firstEvent(100*time.Millisecond, false), start)
	assert.Assert(t, ok)
}

func TestRequestsThatMissTheirObjectiveBecomeLate(t *testing.T) {
	var l List[string]
	l.Add(entry("slow", nil), start)
	l.Add(entry("other", func(e *Entry[string]) { e.CustomerPriority = 1; e.InTimeUntil = start.Add(3 * time.Second) }), start)
	assert.DeepEqual(t, drain(&l, start.Add(2*time.Second)), []string{"other", "slow"})
}

func TestListIsBoundedAndExpires(t *testing.T) {
	var l List[string]
	for range MaxEntries {
		assert.Assert(t, l.Add(entry("x", nil), start))
	}
	assert.Assert(t, !l.Add(entry("x", nil), start))
	end := start.Add(4 * time.Second)
	_, ok := l.Next(firstEvent(0, true), end)
	assert.Assert(t, !ok, "expired")
	assert.Equal(t, len(l.Expire(end)), MaxEntries)
	assert.Assert(t, !l.Add(entry("x", nil), end))
}

func TestAheadAndRemove(t *testing.T) {
	var l List[string]
	l.Add(entry("a", nil), start)
	l.Add(entry("b", func(e *Entry[string]) { e.RoutePriority = 2 }), start)
	between := entry("new", func(e *Entry[string]) { e.RoutePriority = 1 })
	assert.Equal(t, l.Ahead(&between), 100)
	l.Remove(func(name string) bool { return name == "a" })
	assert.Equal(t, l.Ahead(&between), 0)
	assert.DeepEqual(t, drain(&l, start), []string{"b"})
}

func TestDueIsTheFirstMomentAtWhichARequestMayBePlaced(t *testing.T) {
	var l List[string]
	l.Add(entry("a", nil), start)
	assert.Equal(t, l.Due(firstEvent(700*time.Millisecond, false), 900*time.Millisecond, start), 200*time.Millisecond)
	assert.Equal(t, l.Due(firstEvent(2*time.Second, false), 900*time.Millisecond, start), 900*time.Millisecond, "late: when nothing is pending")
	assert.Assert(t, slices.Equal(drain(&l, start), []string{"a"}))
}

// BenchmarkList adds a request to a list of 256 and takes the next one.
func BenchmarkList(b *testing.B) {
	var l List[string]
	random := rand.New(rand.NewPCG(1, 1))
	add := func() {
		l.Add(entry("x", func(e *Entry[string]) {
			e.CustomerPriority, e.RoutePriority, e.Share = random.IntN(3), random.IntN(3), random.Float64()
		}), start)
	}
	for range 256 {
		add()
	}
	s := firstEvent(10*time.Millisecond, true)
	b.ReportAllocs()
	for b.Loop() {
		add()
		l.Next(s, start)
	}
}

// BenchmarkFullTarget asks for the next one of 256 requests while there is no place.
func BenchmarkFullTarget(b *testing.B) {
	var l List[string]
	for range 256 {
		l.Add(entry("x", nil), start)
	}
	s := firstEvent(2*time.Second, false)
	b.ReportAllocs()
	for b.Loop() {
		l.Next(s, start)
	}
}
