package relay

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"zinccove.example/zinccove/origin"
	"zinccove.example/zinccove/place"
	"zinccove.example/zinccove/roster"
	"zinccove.example/zinccove/route"
)

// serveVersion serves streams of one event that names a version.
func serveVersion(version string) func(*arrival, net.Conn) bool {
	return func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		text := "id: 1\ndata: " + version + "\n\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		return endStream(c)
	}
}

func newServerOfVersions(t *testing.T, versions ...string) *testServer {
	t.Helper()
	var targets []*fakeTarget
	for i, v := range versions {
		f := newTarget(t, fmt.Sprint("t", i), serveVersion(v))
		f.version = v
		targets = append(targets, f)
	}
	return newTestServer(t, targets...)
}

// resume sends what a caller sends that resumes the stream which an attempt began.
func (s *testServer) resume(t *testing.T, id, began string) *result {
	t.Helper()
	headers := []string{"Last-Event-Id: 0"}
	if began != "" {
		headers = append(headers, "Resumes: "+began)
	}
	return s.do(t, "POST", "/resume/", id, "b", headers...)
}

func TestCallerIsNotResumedAtAnotherVersion(t *testing.T) {
	s := newServerOfVersions(t, "v1", "v2", "v2")
	for _, version := range []string{"v1", "v2"} {
		began := "began at " + version
		s.origins.Put(origin.KeyOf(customerName, "/resume/", began), origin.Origin{Service: "model", Version: version}, time.Minute)
		for i := range 8 {
			res := s.resume(t, fmt.Sprint(version, i), began)
			assert.NilError(t, res.err)
			assert.Equal(t, res.body, "id: 1\ndata: "+version+"\n\n")
		}
	}
}

// TestStreamOfUnknownOriginIsNotResumed covers what does not name a stream of the caller.
func TestStreamOfUnknownOriginIsNotResumed(t *testing.T) {
	s := newServerOfVersions(t, "v1", "v2")
	model := origin.Origin{Service: "model", Version: "v1"}
	s.origins.Put(origin.KeyOf("another customer", "/resume/", "r1"), model, time.Minute)
	s.origins.Put(origin.KeyOf(customerName, "/model/", "r2"), model, time.Minute)
	s.origins.Put(origin.KeyOf(customerName, "/resume/", "r3"), origin.Origin{Service: "plain", Version: "v1"}, time.Minute)
	s.origins.Put(origin.KeyOf(customerName, "/resume/", "r4"), origin.Origin{Service: "model", Version: "v3"}, time.Minute)
	for _, c := range []struct{ began, reason string }{
		{"", reasonUnknownOrigin}, {"r0", reasonUnknownOrigin}, {"r1", reasonUnknownOrigin}, {"r2", reasonUnknownOrigin},
		{"r3", string(place.NoVersion)}, {"r4", string(place.NoVersion)},
	} {
		res := s.resume(t, "resumes "+c.began, c.began)
		assert.Equal(t, res.header.StatusCode(), 503)
		assert.Equal(t, res.body, c.reason+"\n", "resumes %q", c.began)
	}
	assert.Equal(t, s.Running(), 0)
}

// TestOnlyVersionIsUsedOnRoutesOfOneService has a stream of which nothing is recorded.
func TestOnlyVersionIsUsedOnRoutesOfOneService(t *testing.T) {
	clock := clockwork.NewFakeClock()
	placer := place.New(place.Options{Clock: clock})
	placer.SetTargets([]*roster.Target{{ID: "t", Service: "model", Version: "v1", Slots: 1}}, newTable(t, testSpec()))
	clock.Advance(time.Minute)
	age := time.Duration(0)
	s := &Server{options: Options{Placer: placer, Origins: Origins{Confirm: confirmed}, View: func() View { return View{TargetsAge: age} }}}
	find := func(services ...string) string {
		r := &route.Route{Timeout: routeTimeout}
		for _, name := range services {
			r.Splits = append(r.Splits, route.Split{Service: name, Weight: 1})
		}
		o, source := (&flight{server: s, route: r, service: "model"}).findOrigin()
		assert.Equal(t, source == sourceOnlyVersion, o == origin.Origin{Service: "model", Version: "v1"})
		return source
	}
	assert.Equal(t, find("model"), sourceOnlyVersion)
	assert.Equal(t, find("model", "other"), "")
	age = maxListAge + 1
	assert.Equal(t, find("model"), "")
}

// confirmed stands for a store whose list of targets is the one that the router has.
func confirmed(string, string) bool { return true }

// TestOnlyVersionIsNotTrustedUnconfirmed has callers resume streams, with and without the name of the
// attempt that began them, while a version may have joined that the router does not know.
func TestOnlyVersionIsNotTrustedUnconfirmed(t *testing.T) {
	s := newServerOfVersions(t, "v1")
	clock := clockwork.NewFakeClock()
	s.options.Placer = place.New(place.Options{Clock: clock})
	s.options.Placer.SetTargets(s.targets, s.table)
	clock.Advance(time.Minute)
	joined := *s.targets[1]
	joined.ID, joined.Version = "late", "v2"
	for _, c := range []struct {
		name    string
		status  int
		confirm func(service, version string) bool
	}{
		{"confirmed", 200, confirmed},
		{"not confirmed", 503, func(string, string) bool { return false }},
		{"list changes meanwhile", 503, func(string, string) bool {
			s.options.Placer.ChangeTargets([]*roster.Target{&joined}, nil, s.table)
			return true
		}},
	} {
		s.options.Origins.Confirm = c.confirm
		for _, began := range []string{"", "began before " + c.name} {
			res := s.resume(t, c.name+began, began)
			assert.NilError(t, res.err)
			assert.Equal(t, res.header.StatusCode(), c.status, c.name)
			if c.status == 503 {
				assert.Equal(t, res.body, reasonUnknownOrigin+"\n", c.name)
			}
		}
	}
}

// TestOriginOfStreamIsRecordedBeforeItsFirstEvent has targets whose streams have not brought an
// event yet.
func TestOriginOfStreamIsRecordedBeforeItsFirstEvent(t *testing.T) {
	proceed := make(chan struct{})
	f := newTarget(t, "t", func(a *arrival, c net.Conn) bool {
		beginStream(a, c)
		<-proceed
		event(c, 0)
		return endStream(c)
	})
	s := newTestServer(t, f)
	recorded := func(route, id string) func() bool {
		return func() bool {
			o, ok := s.origins.Get(origin.KeyOf(customerName, route, id))
			return ok && o == origin.Origin{Service: "model", Version: "v1"}
		}
	}
	resumable, other := s.dial(t), s.dial(t)
	resumable.send("POST", "/resume/", "r1", "b")
	other.send("POST", "/model/", "r2", "b")
	eventually(t, "origin recorded", recorded("/resume/", "r1"))
	close(proceed)
	assert.NilError(t, resumable.read().err)
	assert.NilError(t, other.read().err)
	assert.Assert(t, !recorded("/model/", "r2")(), "a stream that may not be resumed needs no record")
}
