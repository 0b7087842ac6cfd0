package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLinesOnTargetsAreNotTakenForTheStartOfARouter has a router log its targets before it
// says that it started: it was then waited for at no address, "r3 is not ready".
func TestLinesOnTargetsAreNotTakenForTheStartOfARouter(t *testing.T) {
	for line, want := range map[string]bool{
		`{"host":"r3","target":"m1","started":"2026-01-01T07:12:44Z","address":"127.0.0.1:33335","message":"target entry"}`: false,
		`{"host":"r3","target":"m1","started":"2026-01-01T07:12:44Z","message":"target says that it leaves"}`:               false,
		`{"host":"r3","caller":"127.0.0.1:35167","control":"127.0.0.1:32977","peer":"127.0.0.1:34753","message":"started"}`: true,
	} {
		assert.Equal(t, saysStarted(line), want, line)
	}
}
