package routesite

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/standin/worker"
)

// TestIncompleteStreamIsNotWhole covers bodies that a caller may take for a whole stream.
func TestIncompleteStreamIsNotWhole(t *testing.T) {
	var whole, mixed strings.Builder
	for n := range events {
		whole.WriteString(worker.Event("r", "v1", n+1))
		mixed.WriteString(worker.Event("r", []string{"v1", "v2"}[n%2], n+1))
	}
	last := worker.Event("r", "v1", events)
	for body, want := range map[string]bool{
		whole.String(): true, mixed.String(): false, "": false, "id: 1": false, strings.TrimSuffix(whole.String(), last): false,
		strings.Replace(whole.String(), "r 2 v1", "r 3 v1", 1): false,
	} {
		a := &Answer{ID: "r", Status: 200, Body: body}
		assert.Equal(t, a.Whole("/gloss/"), want, "%q", body)
	}
}
