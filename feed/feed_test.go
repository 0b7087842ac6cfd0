package feed

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/revision"
)

// at is a revision of the first era.
func at(count uint64) revision.Revision { return revision.Revision{Count: count} }

func row(key string, version uint64) Row[string] {
	return Row[string]{Key: key, Revision: at(version), Size: 10, Value: fmt.Sprint(key, version)}
}

func keys(t *testing.T, l *Log[string], since uint64) []string {
	t.Helper()
	n, _, err := l.Since(at(since))
	assert.NilError(t, err)
	var list []string
	for _, r := range n.Rows {
		list = append(list, r.Value)
	}
	return list
}

func TestReadersGoOnFromTheirVersion(t *testing.T) {
	l := NewLog[string](clockwork.NewFakeClock())
	l.Reset(at(5))
	l.Append(at(7), row("a", 6), row("b", 7))
	l.Append(at(9), row("a", 9))
	assert.DeepEqual(t, keys(t, l, 5), []string{"b7", "a9"})
	assert.DeepEqual(t, keys(t, l, 7), []string{"a9"})
	assert.Equal(t, len(keys(t, l, 9)), 0)
	assert.Equal(t, len(keys(t, l, 20)), 0, "a reader that knows more is told nothing")
	n, _, err := l.Since(at(20))
	assert.NilError(t, err)
	assert.Equal(t, n.Revision, at(20), "and is not taken back")
}

func TestReadersBehindTheLogAreGivenTheWholeTable(t *testing.T) {
	l := NewLog[string](clockwork.NewFakeClock())
	l.Reset(at(5), row("a", 2), row("b", 4))
	l.Append(at(6), row("a", 6))
	n, _, err := l.Since(at(3))
	assert.NilError(t, err)
	assert.Assert(t, n.Whole)
	assert.DeepEqual(t, keys(t, l, 3), []string{"b4", "a6"})
	n, _, err = l.Since(at(5))
	assert.NilError(t, err)
	assert.Assert(t, !n.Whole)
	assert.DeepEqual(t, keys(t, l, 5), []string{"a6"})
}

func TestReadersBehindALargeTableReadTheStore(t *testing.T) {
	l := NewLog[string](clockwork.NewFakeClock())
	l.Reset(at(5))
	big := row("big", 6)
	big.Size = maxSize + 1
	l.Append(at(6), big)
	_, _, err := l.Since(at(5))
	assert.Assert(t, eris.Is(err, ErrHistoryLost), "memory is bounded")
	l.Append(at(8), row("c", 8))
	assert.DeepEqual(t, keys(t, l, 6), []string{"c8"})
	l.Reset(at(30), row("d", 9))
	n, _, err := l.Since(at(8))
	assert.NilError(t, err)
	assert.Assert(t, n.Whole, "the store lost its history in between, so that removals are not known")
}

// TestTablesOfThousandsAreGivenWhole has a reader that is behind a table of 3,000 targets,
// which fits the log.
func TestTablesOfThousandsAreGivenWhole(t *testing.T) {
	const targets = 3000
	l := NewLog[string](clockwork.NewFakeClock())
	var rows []Row[string]
	for i := range targets {
		r := row(fmt.Sprint("t", i), uint64(i+1))
		r.Size = 200
		rows = append(rows, r)
	}
	l.Reset(at(targets), rows...)
	n, _, err := l.Since(at(0))
	assert.NilError(t, err)
	assert.Assert(t, n.Whole)
	assert.Equal(t, len(n.Rows), targets)
	l.Append(at(targets+1), row("t5", targets+1))
	assert.DeepEqual(t, keys(t, l, targets), []string{"t53001"})
}

// TestReadersUpToDateAreToldNothing has a table read in pages while it changed: its rows
// are newer than the version that it was read at. What is newer comes with the next
// changes, not with every keepalive until then.
func TestReadersUpToDateAreToldNothing(t *testing.T) {
	l := NewLog[string](clockwork.NewFakeClock())
	l.Reset(at(5), row("a", 3), row("b", 8))
	assert.Equal(t, len(keys(t, l, 5)), 0)
	l.Append(at(8), row("b", 8))
	assert.DeepEqual(t, keys(t, l, 5), []string{"b8"})
	assert.Equal(t, len(keys(t, l, 8)), 0)
}

func TestReadersAreWokenByChangesLossAndEnd(t *testing.T) {
	l := NewLog[string](clockwork.NewFakeClock())
	wakes := func(what string, act func()) {
		t.Helper()
		_, changed, err := l.Since(at(50))
		assert.NilError(t, err)
		act()
		select {
		case <-changed:
		default:
			t.Fatal("not woken by " + what)
		}
	}
	n, _, err := l.Since(at(0))
	assert.NilError(t, err)
	assert.Assert(t, n.Lost, "nothing is known yet")
	wakes("the first table", func() { l.Reset(at(5)) })
	wakes("a change", func() { l.Append(at(6), row("a", 6)) })
	wakes("the loss of the store", l.SetLost)
	n, _, err = l.Since(at(6))
	assert.NilError(t, err)
	assert.Assert(t, n.Lost)
	wakes("its return", l.Confirm)
	wakes("the end", l.Close)
	_, _, err = l.Since(at(6))
	assert.Assert(t, eris.Is(err, ErrClosed))
}

func TestLeadersShareTheOthers(t *testing.T) {
	var all []string
	for i := range 20 {
		all = append(all, fmt.Sprintf("r%02d", i))
	}
	first := make(map[string]int)
	for i, self := range all {
		others := append(append([]string{}, all[:i]...), all[i+1:]...)
		assert.Equal(t, Rank(self, others), i)
		order := Order(self, others)
		assert.Equal(t, len(order), Leaders)
		if i >= Leaders {
			first[order[0]]++
			for _, name := range order {
				assert.Assert(t, name < all[Leaders], "%s asks %s, which does not follow the store", self, name)
			}
		}
	}
	assert.Equal(t, len(first), Leaders)
	assert.Equal(t, len(Order("a", nil)), 0)
}

// TestReaderOfAnEarlierEraIsGivenTheWholeTable has the store come back from a copy: counts go
// back, and what a reader knows by a higher count of the era before may be gone.
func TestReaderOfAnEarlierEraIsGivenTheWholeTable(t *testing.T) {
	inEra := func(era, count uint64) revision.Revision { return revision.Revision{Era: era, Count: count} }
	l := NewLog[string](clockwork.NewFakeClock())
	l.Reset(inEra(1, 90), row("a", 90))
	again := row("a", 40)
	again.Revision = inEra(2, 40)
	l.Reset(inEra(2, 40), again)
	n, _, err := l.Since(inEra(1, 90))
	assert.NilError(t, err)
	assert.Assert(t, n.Whole)
	assert.Equal(t, n.Revision, inEra(2, 40))
	assert.Equal(t, len(n.Rows), 1)
	n, _, err = l.Since(inEra(3, 5))
	assert.NilError(t, err)
	assert.Assert(t, !n.Whole && len(n.Rows) == 0, "a reader that knows a later era is told nothing")
}
