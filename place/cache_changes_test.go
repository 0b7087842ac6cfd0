package place

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

const reportMemory = 1000

// reportedCache is the cache of a target that reports its changes.
type reportedCache struct {
	prefixCache
	clock *clockwork.FakeClock
}

func newReportedCache(parts ...CachedPart) *reportedCache {
	c := &reportedCache{clock: clockwork.NewFakeClock()}
	c.report(CacheChange{Known: true, Complete: true, Parts: parts})
	return c
}

func (c *reportedCache) report(change CacheChange) { c.apply(change, c.clock.Now) }

func (c *reportedCache) changed(part Hash, tokens int) {
	c.report(CacheChange{Known: true, Parts: []CachedPart{{part, tokens}}})
}

func TestReportedPartsCountWhateverTheEstimateSays(t *testing.T) {
	c := newReportedCache(CachedPart{1, 10})
	assert.Assert(t, c.contains(1, reportMemory))
	c.touch([]Hash{2}, 10)
	c.changed(2, 10)
	c.touch(nil, 5*reportMemory)
	assert.Assert(t, c.contains(1, reportMemory) && c.contains(2, reportMemory))
	assert.Assert(t, c.knows(3) && !c.contains(3, reportMemory))
}

func TestEvictedPartsAreGoneAtOnce(t *testing.T) {
	c := newReportedCache()
	c.touch([]Hash{1}, 10)
	c.changed(1, 10)
	c.clock.Advance(reportLag)
	c.changed(1, 0)
	assert.Assert(t, !c.contains(1, reportMemory))
}

func TestLateEvictionLeavesAPromptThatWasPlacedSince(t *testing.T) {
	c := newReportedCache(CachedPart{1, 10})
	c.touch([]Hash{1}, 10)
	c.clock.Advance(reportLag - time.Millisecond)
	c.changed(1, 0)
	assert.Assert(t, c.contains(1, reportMemory))
	c.touch(nil, reportMemory) // the estimate is in force again
	assert.Assert(t, !c.contains(1, reportMemory))
}

func TestPartWhoseReportNeverArrivesKeepsTheEstimate(t *testing.T) {
	c := newReportedCache()
	c.touch([]Hash{1}, 10)
	c.clock.Advance(10 * reportLag)
	c.changed(2, 10)
	assert.Assert(t, c.contains(1, reportMemory))
	c.touch(nil, reportMemory)
	assert.Assert(t, !c.contains(1, reportMemory))
}

func TestCompleteReportReplacesWhatWasKnown(t *testing.T) {
	c := newReportedCache(CachedPart{1, 10})
	c.touch([]Hash{1, 2}, 10)
	c.clock.Advance(reportLag)
	c.touch([]Hash{3}, 10)
	c.report(CacheChange{Known: true, Complete: true, Parts: []CachedPart{{4, 10}}})
	assert.Assert(t, !c.contains(1, reportMemory) && !c.contains(2, reportMemory))
	assert.Assert(t, c.contains(3, reportMemory) && c.contains(4, reportMemory))
}

func TestUnknownStateFallsBackToTheEstimate(t *testing.T) {
	c := newReportedCache(CachedPart{1, 10})
	c.touch([]Hash{2}, 10)
	c.report(CacheChange{})
	assert.Assert(t, !c.contains(1, reportMemory) && !c.knows(1))
	assert.Assert(t, c.contains(2, reportMemory))
	c.changed(1, 10) // changes of an incomplete state tell nothing
	assert.Assert(t, !c.contains(1, reportMemory))
}

func TestReportedPartsAreBounded(t *testing.T) {
	parts := make([]CachedPart, maxReportedParts+1)
	for i := range parts {
		parts[i] = CachedPart{Hash(i), 1}
	}
	c := newReportedCache(parts...)
	assert.Assert(t, !c.knows(1))
}
