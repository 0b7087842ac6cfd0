package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSeedsKeepTheirDays(t *testing.T) {
	assert.Equal(t, draw(7), draw(7))
	assert.Assert(t, draw(7) != draw(8))
}

func TestAllKindsAreDrawn(t *testing.T) {
	var all strings.Builder
	for seed := range uint64(300) {
		all.WriteString(draw(seed))
	}
	for _, k := range slices.Concat(departures, planned, faults) {
		assert.Assert(t, strings.Contains(all.String(), fmt.Sprintf("kind = %q", k.name)), k.name)
		for _, how := range k.hows {
			assert.Assert(t, strings.Contains(all.String(), fmt.Sprintf("kind = %q, how = %q", k.name, how)) || how == "", how)
		}
	}
}
