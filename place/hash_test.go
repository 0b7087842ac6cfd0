package place

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// collidingNames returns two names whose hashes agree in 32 bits, as some of ten thousand names do.
func collidingNames(t *testing.T) (a, b string) {
	t.Helper()
	seen := make(map[uint32]string)
	for i := range 1 << 20 {
		name := fmt.Sprint("i-", i)
		if other, ok := seen[uint32(HashOf(name))]; ok {
			return other, name
		}
		seen[uint32(HashOf(name))] = name
	}
	t.Fatal("no two names share 32 bits")
	return "", ""
}

// TestTargetsWithSimilarHashesAreDistinct makes one of two such targets full and draining. The
// other one must not be affected.
func TestTargetsWithSimilarHashesAreDistinct(t *testing.T) {
	a, b := collidingNames(t)
	p, _ := newTestPlacer(t)
	list := targets("plain", 2)
	list[0].ID, list[1].ID = a, b
	p.SetTargets(list, table(t))
	p.ApplyReport("r", Report{Update: Update{Loads: map[Hash]Load{HashOf(a): {Requests: 1000}}}})
	assert.Assert(t, p.MarkDraining(HashOf(a)))
	id, known := p.TargetID(HashOf(b))
	assert.Assert(t, known && id == b)
	for range 20 {
		d := p.Place(Request{Service: "plain", Objective: objective, Call: call("x", 0, 1)})
		assert.Assert(t, d.Run != nil)
		assert.Equal(t, d.Run.Target.ID, b)
		assert.Equal(t, d.Outstanding, 0)
		d.Run.End(Answered)
	}
}
