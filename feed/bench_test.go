package feed

import (
	"fmt"
	"testing"
)

// BenchmarkKeepalive is a look of a reader that knows all 325 rows, five times a second
// for each of twenty readers: 5.4 us when all rows were looked through, 0.04 us since.
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
