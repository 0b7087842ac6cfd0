package revision

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEraComesBeforeCount(t *testing.T) {
	order := []Revision{{}, {Count: 5}, {Count: 90}, {Era: 1, Count: 3}, {Era: 1, Count: 4}, {Era: 2}}
	for i, a := range order {
		for j, b := range order {
			assert.Equal(t, a.Before(b), i < j, "%v %v", a, b)
			assert.Equal(t, Later(a, b), order[max(i, j)])
		}
	}
	assert.Assert(t, order[0].IsZero() && !order[5].IsZero())
	assert.Equal(t, order[3].String(), "1.3")
}
