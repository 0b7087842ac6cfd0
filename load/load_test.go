package load

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const goodFile = `
[experiment]
duration = 5s
seed = 7
[fleet]
callers = 127.0.0.1:1, 127.0.0.1:2
engines = 127.0.0.1:3
slots = 8
[customer.flood]
model = m
weight = 2
outstanding = 100
count = 2
[customer.small]
model = m
key = k
rate = 1.5
routers = 1
stop = 2s
`

func TestParse(t *testing.T) {
	e, err := Parse("f.ini", []byte(goodFile))
	assert.NilError(t, err)
	assert.Equal(t, len(e.Customers), 3)
	assert.Equal(t, e.Customers[1].Name, "flood-2")
	assert.Equal(t, e.Customers[1].Key, "flood-2-key")
	assert.Equal(t, e.Customers[1].Stop, 5*time.Second)
	assert.DeepEqual(t, e.Customers[1].Routers, []int{0, 1})
	assert.DeepEqual(t, e.Customers[2].Routers, []int{1})
	assert.Equal(t, e.Customers[2].Stop, 2*time.Second)
}

func TestParseNamesWhatIsWrong(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", "seed = 7", "sead = 7", "[experiment] sead: unknown key"},
		{"unknown section", "[fleet]", "[feet]\nx = 1\n[fleet]", "[feet] : unknown section"},
		{"not loopback", "127.0.0.1:3", "10.0.0.1:3", `[fleet] engines: "10.0.0.1:3" is not a loopback address`},
		{"too long", "duration = 5s", "duration = 5h", "[experiment] duration: must be up to 30m"},
		{"no customers", "[customer.", "[x.", "unknown section"},
		{"router index", "routers = 1", "routers = 5", "[customer.small] routers: must be indexes of callers"},
		{"rate", "rate = 1.5", "rate = fast", "[customer.small] rate: must be a number"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("f.ini", []byte(strings.ReplaceAll(goodFile, tc.old, tc.new)))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestSameSeedDrawsTheSameRequests(t *testing.T) {
	e, err := Parse("f.ini", []byte(goodFile))
	assert.NilError(t, err)
	a, b := newDrawer(e, 0), newDrawer(e, 0)
	for range 100 {
		assert.Equal(t, a.next(), b.next())
		assert.Equal(t, a.pause(), b.pause())
	}
}

func TestLargestGap(t *testing.T) {
	at := func(a, b float64, bothWait bool) point {
		return point{service: []float64{a, b}, backlogged: []bool{true, bothWait}}
	}
	tests := []struct {
		name   string
		series []point
		want   float64
	}{
		{"equal", []point{at(0, 0, true), at(5, 5, true)}, 0},
		{"one ahead", []point{at(0, 0, true), at(9, 2, true)}, 7},
		{"swings", []point{at(0, 0, true), at(5, 0, true), at(5, 9, true)}, 9},
		{"difference from before does not count", []point{at(50, 0, true), at(52, 1, true)}, 1},
		{"idle in between", []point{at(0, 0, true), at(9, 0, false), at(9, 0, true)}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, largestGap(tc.series, 2).tokens, tc.want)
		})
	}
}
