package feed

import (
	"bytes"
	"fmt"
	"strings"
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

// maxBytes is the size limit of a log under test.
const maxBytes = 1 << 20

// newLog returns a log that retains rows, and encodes values one per line.
func newLog() *Log[string] {
	l := NewLog(Options[string]{Clock: clockwork.NewFakeClock(), MaxBytes: maxBytes, Encode: func(rows []Row[string]) []byte {
		var page []byte
		for _, r := range rows {
			page = append(page, r.Value+"\n"...)
		}
		return page
	}})
	l.SetRetainRows(true)
	return l
}

// unpack returns the values in pages.
func unpack(pages [][]byte) []string { return strings.Fields(string(bytes.Join(pages, nil))) }

func keys(t *testing.T, l *Log[string], since uint64) []string {
	t.Helper()
	n, _, err := l.Since(at(since))
	assert.NilError(t, err)
	list := unpack(n.Pages)
	for _, r := range n.Rows {
		list = append(list, r.Value)
	}
	return list
}

func TestReadersContinueFromTheirRevision(t *testing.T) {
	l := newLog()
	l.Reset(at(5))
	l.Append(at(7), row("a", 6), row("b", 7))
	l.Append(at(9), row("a", 9))
	assert.DeepEqual(t, keys(t, l, 5), []string{"b7", "a9"})
	assert.DeepEqual(t, keys(t, l, 7), []string{"a9"})
	assert.Equal(t, len(keys(t, l, 9)), 0)
	assert.Equal(t, len(keys(t, l, 20)), 0, "a reader that knows more receives no rows")
	n, _, err := l.Since(at(20))
	assert.NilError(t, err)
	assert.Equal(t, n.Revision, at(20), "its revision does not go back")
}

func TestReadersBehindTheLogReceiveTheCompleteTable(t *testing.T) {
	l := newLog()
	l.Reset(at(5), row("a", 2), row("b", 4))
	l.Append(at(6), row("a", 6))
	n, _, err := l.Since(at(3))
	assert.NilError(t, err)
	assert.Assert(t, n.Complete)
	assert.DeepEqual(t, keys(t, l, 3), []string{"b4", "a6"})
	n, _, err = l.Since(at(5))
	assert.NilError(t, err)
	assert.Assert(t, !n.Complete)
	assert.DeepEqual(t, keys(t, l, 5), []string{"a6"})
}

func TestReadersBehindALargeTableReadTheStore(t *testing.T) {
	l := newLog()
	l.Reset(at(5))
	big := row("big", 6)
	big.Size = maxBytes + 1
	l.Append(at(6), big)
	_, _, err := l.Since(at(5))
	assert.Assert(t, eris.Is(err, ErrHistoryLost), "memory is bounded")
	assert.Assert(t, !l.NeedsSnapshot(), "another snapshot would be too large again")
	l.Append(at(8), row("c", 8))
	assert.DeepEqual(t, keys(t, l, 6), []string{"c8"})
	l.Reset(at(30), row("d", 9))
	n, _, err := l.Since(at(8))
	assert.NilError(t, err)
	assert.Assert(t, n.Complete, "the store lost its history in between, so removals are unknown")
}

// TestLargeTableIsReadCompletely reads a table of 3,000 targets, which fits the log, as a
// reader that is behind.
func TestLargeTableIsReadCompletely(t *testing.T) {
	const targets = 3000
	l := newLog()
	var rows []Row[string]
	for i := range targets {
		r := row(fmt.Sprint("t", i), uint64(i+1))
		r.Size = 200
		rows = append(rows, r)
	}
	l.Reset(at(targets), rows...)
	n, _, err := l.Since(at(0))
	assert.NilError(t, err)
	assert.Assert(t, n.Complete)
	assert.Equal(t, len(unpack(n.Pages)), targets)
	l.Append(at(targets+1), row("t5", targets+1))
	assert.DeepEqual(t, keys(t, l, targets), []string{"t53001"})
}

// TestUpToDateReadersReceiveNothing guards against sending the same rows with every keepalive. A
// table that changed while it was read in pages has rows that are newer than the revision it was
// read at; they must only be sent with the next changes.
func TestUpToDateReadersReceiveNothing(t *testing.T) {
	l := newLog()
	l.Reset(at(5), row("a", 3), row("b", 8))
	assert.Equal(t, len(keys(t, l, 5)), 0)
	l.Append(at(8), row("b", 8))
	assert.DeepEqual(t, keys(t, l, 5), []string{"b8"})
	assert.Equal(t, len(keys(t, l, 8)), 0)
}

func TestReadersAreWokenByChangesLossAndEnd(t *testing.T) {
	l := newLog()
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
	assert.Assert(t, n.StoreLost, "the table was not read yet")
	wakes("the first table", func() { l.Reset(at(5)) })
	wakes("a change", func() { l.Append(at(6), row("a", 6)) })
	wakes("the loss of the store", l.SetLost)
	n, _, err = l.Since(at(6))
	assert.NilError(t, err)
	assert.Assert(t, n.StoreLost)
	wakes("the response of the store", func() { l.Confirm(l.options.Clock.Now()) })
	wakes("the close", l.Close)
	_, _, err = l.Since(at(6))
	assert.Assert(t, eris.Is(err, ErrClosed))
}

// TestReaderOfAnEarlierEraReceivesTheCompleteTable restores the store from a backup: its count goes
// back, and rows that a reader knows by a higher count of the earlier era may no longer exist.
func TestReaderOfAnEarlierEraReceivesTheCompleteTable(t *testing.T) {
	inEra := func(era, count uint64) revision.Revision { return revision.Revision{Era: era, Count: count} }
	l := newLog()
	l.Reset(inEra(1, 90), row("a", 90))
	again := row("a", 40)
	again.Revision = inEra(2, 40)
	l.Reset(inEra(2, 40), again)
	n, _, err := l.Since(inEra(1, 90))
	assert.NilError(t, err)
	assert.Assert(t, n.Complete)
	assert.Equal(t, n.Revision, inEra(2, 40))
	assert.DeepEqual(t, unpack(n.Pages), []string{"a40"})
	n, _, err = l.Since(inEra(3, 5))
	assert.NilError(t, err)
	assert.Assert(t, !n.Complete && len(n.Rows) == 0, "a reader that knows a later era receives no rows")
}

// TestPagesAreEncodedOnceForAllReaders has many readers read a complete table of tens of thousands
// of rows, and again after single changes: the rows encoded must grow with the number of changes,
// not of readers.
func TestPagesAreEncodedOnceForAllReaders(t *testing.T) {
	for _, rows := range []int{1000, 10_000, 20_000} {
		l := newLog()
		packed := 0
		pack := l.options.Encode
		l.options.Encode = func(rows []Row[string]) []byte { packed += len(rows); return pack(rows) }
		var table []Row[string]
		for i := range rows {
			table = append(table, row(fmt.Sprint("t", i, "-"), uint64(i+1)))
		}
		l.Reset(at(uint64(rows)), table...)
		read := func() {
			for range 100 {
				n, _, err := l.Since(at(0))
				assert.NilError(t, err)
				assert.Equal(t, len(unpack(n.Pages)), rows)
			}
		}
		read()
		assert.Equal(t, packed, rows)
		packed = 0
		const changes = 5
		for i := range changes {
			version := uint64(rows + i + 1)
			l.Append(at(version), row(fmt.Sprint("t", 7*i, "-"), version))
			read()
		}
		assert.Assert(t, packed <= changes*2*pageRows, "%d rows of %d encoded for %d changes", packed, rows, changes)
	}
}

// TestLogOfManyChangesStaysSmall writes rows repeatedly and removes some.
func TestLogOfManyChangesStaysSmall(t *testing.T) {
	l := newLog()
	l.Reset(at(1))
	version := uint64(1)
	for round := range 400 {
		for i := range 100 {
			version++
			l.Append(at(version), row(fmt.Sprint("t", i, "-"), version))
		}
		version++
		removed := row(fmt.Sprint("gone", round), version)
		removed.Removed = true
		l.Append(at(version), removed)
	}
	assert.Assert(t, len(l.rows) < 2*(100+400)+minDeadSlots, "%d slots", len(l.rows))
	n, _, err := l.Since(at(0))
	assert.NilError(t, err)
	assert.Equal(t, len(unpack(n.Pages)), 100, "removed rows are not in the complete table")
	n, _, err = l.Since(at(version - 101))
	assert.NilError(t, err)
	assert.Equal(t, len(n.Rows), 101, "readers that may know removed rows are notified")
	assert.Assert(t, n.Rows[100].Removed)
}

// TestOldestRemovedRowsAreDropped removes more rows than the log retains: a reader that may
// know the first of them must receive the complete table.
func TestOldestRemovedRowsAreDropped(t *testing.T) {
	l := newLog()
	l.Reset(at(1))
	const removals = 2*maxRemovedRows + 1
	for i := range removals {
		r := row(fmt.Sprint("t", i), uint64(i+2))
		r.Removed = true
		l.Append(at(uint64(i+2)), r)
	}
	assert.Assert(t, len(l.rows) <= maxRemovedRows)
	n, _, err := l.Since(at(2))
	assert.NilError(t, err)
	assert.Assert(t, n.Complete)
	n, _, err = l.Since(at(removals))
	assert.NilError(t, err)
	assert.Equal(t, len(n.Rows), 1)
}

// TestLogWithoutRetainedRowsReportsLostHistory begins to retain rows after the table was read.
func TestLogWithoutRetainedRowsReportsLostHistory(t *testing.T) {
	l := newLog()
	l.SetRetainRows(false)
	assert.Assert(t, !l.NeedsSnapshot())
	l.Reset(at(5), row("a", 2))
	l.Append(at(6), row("a", 6))
	_, _, err := l.Since(at(5))
	assert.Assert(t, eris.Is(err, ErrHistoryLost))
	n, _, err := l.Since(at(6))
	assert.NilError(t, err)
	assert.Assert(t, !n.Complete && len(n.Rows) == 0)
	l.SetRetainRows(true)
	assert.Assert(t, l.NeedsSnapshot())
	l.Append(at(7), row("b", 7))
	assert.DeepEqual(t, keys(t, l, 6), []string{"b7"})
	_, _, err = l.Since(at(5))
	assert.Assert(t, eris.Is(err, ErrHistoryLost))
	l.Reset(at(8), row("a", 6), row("b", 7))
	assert.Assert(t, !l.NeedsSnapshot())
	assert.DeepEqual(t, keys(t, l, 5), []string{"a6", "b7"})
}
