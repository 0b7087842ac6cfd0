package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/place"
)

// TestRequestsBoundToRegionsRunNowhereElse has routes and a customer bound to a region that has
// no targets: no request may reach a target, and the response guarantees that the request did
// not run.
func TestRequestsBoundToRegionsRunNowhereElse(t *testing.T) {
	f := newTarget(t, "t", respondOK)
	s := newTestServer(t, f)
	bound := testSpec()
	bound.Routes[0].Regions = []string{"west"}
	s.set(newTable(t, bound))
	refused := func(path string) {
		t.Helper()
		res := s.do(t, "POST", path, "r-"+path, "the body")
		assert.NilError(t, res.err)
		assert.Equal(t, res.header.StatusCode(), 503)
		assert.Equal(t, res.body, string(place.NotAllowed)+"\n")
		assert.Assert(t, len(res.header.Peek("Retry-After")) > 0)
	}
	refused("/once/")
	assert.Equal(t, s.do(t, "POST", "/repeat/", "free", "the body").header.StatusCode(), 200)
	ofCustomer := testSpec()
	ofCustomer.Customers[0].Regions = []string{"west"}
	s.set(newTable(t, ofCustomer))
	refused("/repeat/")
	refused("/model/")
	assert.Equal(t, s.do(t, "POST", "/public/", "public", "the body").header.StatusCode(), 200, "public routes have no customer")
	assert.Equal(t, len(f.received()), 2)
}
