package feed

import (
	"fmt"
	"testing"
)

// BenchmarkKeepalive is a poll by a reader that knows all 325 rows, as twenty readers make five
// times a second each. Searching all rows takes 5.4 us for each poll, comparing revisions 0.04 us.
func BenchmarkKeepalive(b *testing.B) {
	l := newLog()
	var rows []Row[string]
	for i := range 325 {
		rows = append(rows, row(fmt.Sprint("t", i), uint64(i+1)))
	}
	l.Reset(at(325), rows...)
	for b.Loop() {
		if _, _, err := l.Since(at(325)); err != nil {
			b.Fatal(err)
		}
	}
}
