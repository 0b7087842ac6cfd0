package quarantine

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/platformtest"
)

// startPersister runs a persister until the test ends or stop is called.
func startPersister(t *testing.T, l *List, table platform.Table, clock clockwork.Clock) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	k := newPersister(t, l, table, clock)
	var g errgroup.Group
	g.Go(func() error { return k.Run(ctx) })
	stop = func() {
		cancel()
		assert.NilError(t, g.Wait())
	}
	t.Cleanup(stop)
	return stop
}

func newPersister(t *testing.T, l *List, table platform.Table, clock clockwork.Clock) *Persister {
	t.Helper()
	m, err := metric.New()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Close()) })
	return &Persister{List: l, Table: table, Clock: clock, Log: zerolog.Nop(), Metrics: m}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not in time: " + what)
}

// TestBarredRequestsSurviveRestartOfAllRouters has the router that barred a request lose its
// list. The first calls to the table fail.
func TestBarredRequestsSurviveRestartOfAllRouters(t *testing.T) {
	clock := clockwork.NewRealClock()
	m := platformtest.New()
	m.Fail = func(call int, _ bool) platformtest.Failure {
		if call == 1 || call == 3 {
			return platformtest.Down
		}
		return platformtest.None
	}
	before, c := New(clock), contentOf("ends")
	stop := startPersister(t, before, m.Table(), clock)
	for target := range IncarnationHash(2) {
		loses(before, c, target)
	}
	eventually(t, "the request is written", func() bool { return m.Writes() == 1 })
	stop()
	after := New(clock)
	startPersister(t, after, m.Table(), clock)
	eventually(t, "the request is barred", func() bool { return bars(after, c) })
	assert.Assert(t, !bars(after, contentOf("another")))
}

// TestInvalidAndExpiredRowsBarNothing also covers a row with a time in the future, which other
// clocks can write.
func TestInvalidAndExpiredRowsBarNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := platformtest.New()
	ctx, c := context.Background(), contentOf("old")
	old, err := json.Marshal(record{Fingerprint: c.Fingerprint().String(), Losses: []Loss{{Target: 1}, {Target: 2}, {Target: 3}}, LostUnixMs: clock.Now().Add(-suspectTTL).UnixMilli()})
	assert.NilError(t, err)
	ahead, err := json.Marshal(record{Fingerprint: contentOf("ahead").Fingerprint().String(), Losses: []Loss{{Target: 1}, {Target: 2}, {Target: 3}}, LostUnixMs: clock.Now().Add(time.Second).UnixMilli()})
	assert.NilError(t, err)
	for key, value := range map[string][]byte{"00": []byte(`{"fingerprint":"zz"}`), "01": []byte(`[]`), "02": old, "03": ahead} {
		assert.NilError(t, m.Table().Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: rowPrefix + key, Value: value}}}))
	}
	l := New(clock)
	k := newPersister(t, l, m.Table(), clock)
	assert.NilError(t, k.load(ctx))
	assert.Assert(t, !bars(l, c))
	assert.Assert(t, bars(l, contentOf("ahead")))
	_, barred := l.Counts()
	assert.Equal(t, barred, 1)
}
