package confsync

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/platform/platformtest"
)

var (
	ctx  = context.Background()
	peer = netip.MustParseAddrPort("127.0.0.1:1")
)

// router is a syncer that records what it adopts.
type router struct {
	*Syncer
	adopted []uint64
}

func newRouter(m *platformtest.Memory, fetch func() ([]byte, string, error)) *router {
	r := new(router)
	r.Syncer = New(Options{
		Store:     intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()}),
		FetchPeer: func(context.Context, netip.AddrPort) ([]byte, string, error) { return fetch() },
		Adopt:     func(c *config.Config) { r.adopted = append(r.adopted, c.Version) },
	})
	return r
}

// accept brings a new version in force at the platform.
func accept(t interface{ Fatal(...any) }, m *platformtest.Memory, weight int) {
	s := intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()})
	p, err := s.Plan(ctx, "anna", []config.Change{config.Put(config.Customer{Name: "c", Weight: uint32(weight),
		KeyDigests: []string{config.Digest([]byte(fmt.Sprint("key", weight)))}})})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Confirm(ctx, "anna", p.ID); err != nil {
		t.Fatal(err)
	}
}

func TestPollFollowsChanges(t *testing.T) {
	m := platformtest.New()
	r := newRouter(m, nil)
	assert.NilError(t, r.Poll(ctx))
	assert.Assert(t, r.Current() == nil)
	for i := range 30 {
		accept(t, m, i+1)
		if i%12 == 0 {
			assert.NilError(t, r.Poll(ctx))
		}
	}
	assert.NilError(t, r.Poll(ctx))
	assert.DeepEqual(t, r.adopted, []uint64{1, 13, 25, 30})
	assert.Equal(t, r.Current().Customer([]byte("key30")).Name, "c")
	assert.Assert(t, r.Current().Customer([]byte("key29")) == nil)
}

func TestFollowingCostsAReadForEachVersion(t *testing.T) {
	m := platformtest.New()
	r := newRouter(m, nil)
	accept(t, m, 1)
	assert.NilError(t, r.Poll(ctx))
	accept(t, m, 2)
	before := m.Calls()
	assert.NilError(t, r.Poll(ctx))
	assert.Equal(t, m.Calls()-before, 2)
}

func TestPeerWithAWrongDigestIsNotBelieved(t *testing.T) {
	m := platformtest.New()
	accept(t, m, 1)
	good := newRouter(m, nil)
	assert.NilError(t, good.Poll(ctx))
	bad := newRouter(platformtest.New(), func() ([]byte, string, error) { return good.Current().Body, "0000", nil })
	assert.ErrorContains(t, bad.Learn(ctx, peer, 1), "does not match")
	assert.Assert(t, bad.Current() == nil)
	down := newRouter(platformtest.New(), func() ([]byte, string, error) { return nil, "", errors.New("gone") })
	assert.ErrorContains(t, down.Learn(ctx, peer, 1), "gone")
}

// TestVersionNeverGoesBack mixes polls of a failing platform with peers that
// are behind or ahead.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := platformtest.New()
		a := newRouter(m, nil)
		b := newRouter(m, func() ([]byte, string, error) {
			if a.Current() == nil {
				return nil, "", errors.New("no configuration")
			}
			return a.Current().Body, a.Current().Digest, nil
		})
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			down := rapid.Bool().Draw(t, "down")
			m.Fail = nil
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				accept(t, m, i+1)
			case 1:
				m.Fail = func(int, bool) platformtest.Failure {
					if down {
						return platformtest.Down
					}
					return platformtest.None
				}
				a.Poll(ctx) //nolint:errcheck // failures are part of the test
			case 2:
				b.Poll(ctx) //nolint:errcheck // so they are here
			case 3:
				b.Learn(ctx, peer, a.Current().Version()) //nolint:errcheck // and here
			}
		}
		for _, r := range []*router{a, b} {
			for i := 1; i < len(r.adopted); i++ {
				if r.adopted[i] <= r.adopted[i-1] {
					t.Fatalf("versions %v", r.adopted)
				}
			}
		}
	})
}

// TestAcceptedConfigurationSurvivesACopyOfTheTable has the table come back from a copy that
// lacks the two latest versions. Routers write the one in force again: without that the next
// plan made version 2 a second time, which no router that had the first one took.
func TestAcceptedConfigurationSurvivesACopyOfTheTable(t *testing.T) {
	m := platformtest.New()
	a, b := newRouter(m, nil), newRouter(m, nil)
	accept(t, m, 1)
	assert.NilError(t, b.Poll(ctx))
	before, err := intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()}).
		Plan(ctx, "anna", []config.Change{config.Put(config.Service{Name: "s"})})
	assert.NilError(t, err)
	goBack := m.Backup()
	accept(t, m, 2)
	accept(t, m, 3)
	assert.NilError(t, a.Poll(ctx))
	goBack()
	assert.NilError(t, b.Poll(ctx))
	assert.NilError(t, a.Poll(ctx))
	assert.Equal(t, a.Current().Version(), uint64(3))
	assert.NilError(t, b.Poll(ctx))
	assert.Equal(t, b.Current().Version(), uint64(3))
	// A plan from before cannot be told apart from what was changed since.
	var overlap *intent.ConflictError
	s := intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()})
	_, err = s.Confirm(ctx, "anna", before.ID)
	assert.Assert(t, errors.As(err, &overlap), "%v", err)
	accept(t, m, 4)
	for _, r := range []*router{a, b} {
		assert.NilError(t, r.Poll(ctx))
		assert.Equal(t, r.Current().Version(), uint64(4))
		assert.Assert(t, r.Current().Customer([]byte("key4")) != nil)
	}
}
