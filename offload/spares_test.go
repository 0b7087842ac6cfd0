package offload

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func routers(n int) []Router {
	list := make([]Router, n)
	for i := range list {
		list[i].Name = fmt.Sprint("r", i)
	}
	return list
}

func TestChooseOnlyRoutersWithTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSpares()
	list := routers(5)
	assert.Equal(t, len(s.Choose(list, 2, now)), 0, "no reports")
	assert.Equal(t, len(s.Choose(nil, 2, now)), 0, "no routers")
	s.Record("r0", minSpare, now)
	s.Record("r1", 0.1, now.Add(-reportTTL))
	s.Record("r2", 0.1, now)
	s.Record("r3", 0.1, now)
	s.Forget("r3")
	chosen := 0
	for range 200 {
		got := s.Choose(list, 2, now)
		assert.Assert(t, len(got) <= 1)
		for _, r := range got {
			assert.Equal(t, r.Name, "r2")
			chosen++
		}
	}
	assert.Assert(t, chosen > 50, "%d", chosen)
}

// 1,000 streams a second go to 20 routers whose reports are a second apart. A third of them is
// nearly full and gets few; none gets more than its two or three parts of 20.
func TestChooseSpreadsAFlood(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSpares()
	list := routers(20)
	for i, r := range list {
		spare := 0.1 + 0.002*float64(i)
		if i%3 == 0 {
			spare = 0.04
		}
		s.Record(r.Name, spare, now)
	}
	count := make(map[string]int)
	for range 1000 {
		got := s.Choose(list, 2, now)
		assert.Assert(t, len(got) == 0 || len(got) == 1 || got[0] != got[1])
		if len(got) > 0 {
			count[got[0].Name]++
		}
	}
	for i, r := range list {
		n := count[r.Name]
		assert.Assert(t, n < 150, "%s got %d of 1,000", r.Name, n)
		if i%3 == 0 {
			assert.Assert(t, n < 60, "%s, nearly full, got %d of 1,000", r.Name, n)
		}
	}
}
