package message

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLastPartIsNotShared(t *testing.T) {
	for n, want := range []int{0, 0, 1, 2} {
		c := RequestInfo{PrefixParts: make([]PrefixPart, n)}
		assert.Equal(t, len(c.SharedParts()), want, "%d parts", n)
	}
}
