package route

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func spec() Spec {
	r := func(name, host, prefix string, splits ...Split) *Route {
		return &Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 1, Splits: splits}
	}
	return Spec{
		Version:   1,
		Services:  []Service{{Name: "a"}, {Name: "b", Engine: &Engine{Slots: 4}}},
		Customers: []Customer{{Name: "c", Keys: []string{"k1", "k2"}}},
		Routes: []*Route{
			r("root", "h", "/", Split{"a", 1}),
			r("deep", "h", "/x/y/", Split{"a", 1}, Split{"b", 3}),
			r("mid", "h", "/x/", Split{"b", 1}),
		},
	}
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	tests := []struct{ host, path, want string }{
		{"h", "/x/y/z?q=/x/", "deep"},
		{"h:8080", "/x/z", "mid"},
		{"h", "/x", "root"},
		{"h", "/", "root"},
		{"other", "/x/", ""},
	}
	for _, tc := range tests {
		var name string
		if r := table.Match(tc.host, tc.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, tc.want, "%s %s", tc.host, tc.path)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	r := table.Route("deep")
	counts := make(map[string]int)
	for i := range 4 {
		counts[r.Pick(func(n int) int {
			assert.Equal(t, n, 4)
			return i
		})]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 1, "b": 3})
}

func TestKeysNameTheirCustomer(t *testing.T) {
	table, err := New(spec())
	assert.NilError(t, err)
	assert.Equal(t, table.Customer("k2").Name, "c")
	assert.Assert(t, table.Customer("k3") == nil)
}

func TestWrongSpecsAreRejected(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Spec)
		want   string
	}{
		{"no version", func(s *Spec) { s.Version = 0 }, "version: must be at least 1"},
		{"unknown service", func(s *Spec) { s.Routes[0].Splits[0].Service = "z" }, "leads to unknown service z"},
		{"no service", func(s *Spec) { s.Routes[0].Splits = nil }, "leads to no service"},
		{"prefix", func(s *Spec) { s.Routes[0].Prefix = "/x" }, "prefix must begin and end with a slash"},
		{"no time", func(s *Spec) { s.Routes[0].Timeout = 0 }, "time limit must be more than 0"},
		{"no attempts", func(s *Spec) { s.Routes[0].MaxAttempts = 0 }, "attempts must be at least 1"},
		{"twice", func(s *Spec) { s.Routes[1].Name = "root" }, "route root: is defined twice"},
		{"engine", func(s *Spec) { s.Services[1].Engine.Slots = 0 }, "engine has no slots"},
		{"shared key", func(s *Spec) { s.Customers = append(s.Customers, Customer{Name: "d", Keys: []string{"k1"}}) }, "shares a key with c"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := spec()
			tc.change(&s)
			_, err := New(s)
			assert.Assert(t, err != nil && strings.Contains(err.Error(), tc.want), "%v", err)
		})
	}
}
