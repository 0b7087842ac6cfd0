package routesite

import (
	"io"
	"slices"
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

// TestDisordersAreToldApart has one body for each.
func TestDisordersAreToldApart(t *testing.T) {
	parts := make([]string, events)
	for n := range parts {
		parts[n] = worker.Event("r", "v1", n+1)
	}
	body := func(change func([]string) []string) string { return strings.Join(change(slices.Clone(parts)), "") }
	for _, c := range []struct {
		want Disorder
		body string
	}{
		{InOrder, body(slices.Clip)},
		{Lost, body(func(p []string) []string { return slices.Delete(p, 3, 4) })},
		{Repeated, body(func(p []string) []string { return slices.Insert(p, 3, p[2]) })},
		{Joined, body(func(p []string) []string { p[3] = worker.Event("r", "v2", 4); return p })},
		{Joined, body(func(p []string) []string { p[3] = worker.Event("q", "v1", 4); return p })},
		{Joined, body(func(p []string) []string { p[3] = p[3][:9] + p[3]; return p })},
		{EarlyEnd, body(func(p []string) []string { return p[:events-1] })},
		{EarlyEnd, body(func(p []string) []string { return p[:0] })},
		{EarlyEnd, body(func(p []string) []string { p[events-1] = p[events-1][:9]; return p })},
	} {
		a := &Answer{ID: "r", Status: 200, Body: c.body}
		assert.Equal(t, a.Disorder(), c.want, "%q", c.body)
		a.Err = io.ErrUnexpectedEOF
		assert.Equal(t, a.Disorder(), InOrder)
	}
}
