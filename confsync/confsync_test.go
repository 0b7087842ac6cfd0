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

// router is a syncer that records the versions it adopts.
type router struct {
	*Syncer
	adoptedVersions []uint64
}

func newRouter(m *platformtest.Memory, fetch func() ([]byte, string, error)) *router {
	r := new(router)
	r.Syncer = New(Options{
		Store:     intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()}),
		FetchPeer: func(context.Context, netip.AddrPort) ([]byte, string, error) { return fetch() },
		Adopt:     func(c *config.Config) { r.adoptedVersions = append(r.adoptedVersions, c.Version) },
	})
	return r
}

// confirmChange confirms a change at the platform, which makes a new version.
func confirmChange(t interface{ Fatal(...any) }, m *platformtest.Memory, weight int) {
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

func TestPollAdoptsChanges(t *testing.T) {
	m := platformtest.New()
	r := newRouter(m, nil)
	assert.NilError(t, r.Poll(ctx))
	assert.Assert(t, r.Current() == nil)
	for i := range 30 {
		confirmChange(t, m, i+1)
		if i%12 == 0 {
			assert.NilError(t, r.Poll(ctx))
		}
	}
	assert.NilError(t, r.Poll(ctx))
	assert.DeepEqual(t, r.adoptedVersions, []uint64{1, 13, 25, 30})
	assert.Equal(t, r.Current().Customer([]byte("key30")).Name, "c")
	assert.Assert(t, r.Current().Customer([]byte("key29")) == nil)
}

func TestPollReadsHeadAndOneRowPerVersion(t *testing.T) {
	m := platformtest.New()
	r := newRouter(m, nil)
	confirmChange(t, m, 1)
	assert.NilError(t, r.Poll(ctx))
	confirmChange(t, m, 2)
	before := m.Calls()
	assert.NilError(t, r.Poll(ctx))
	assert.Equal(t, m.Calls()-before, 2)
}

func TestConfigurationWithWrongDigestIsRejected(t *testing.T) {
	m := platformtest.New()
	confirmChange(t, m, 1)
	good := newRouter(m, nil)
	assert.NilError(t, good.Poll(ctx))
	bad := newRouter(platformtest.New(), func() ([]byte, string, error) { return good.Current().Body, "0000", nil })
	assert.ErrorContains(t, bad.AdoptFromPeer(ctx, peer, 1), "does not match")
	assert.Assert(t, bad.Current() == nil)
	down := newRouter(platformtest.New(), func() ([]byte, string, error) { return nil, "", errors.New("gone") })
	assert.ErrorContains(t, down.AdoptFromPeer(ctx, peer, 1), "gone")
}

// TestVersionNeverDecreases mixes polls of a platform that fails with fetches
// from a peer that has a lower or a higher version.
func TestVersionNeverDecreases(t *testing.T) {
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
			unavailable := rapid.Bool().Draw(t, "down")
			m.Fail = nil
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				confirmChange(t, m, i+1)
			case 1:
				m.Fail = func(int, bool) platformtest.Failure {
					if unavailable {
						return platformtest.Down
					}
					return platformtest.None
				}
				a.Poll(ctx) //nolint:errcheck // failures are part of the test
			case 2:
				b.Poll(ctx) //nolint:errcheck // failures are part of the test
			case 3:
				b.AdoptFromPeer(ctx, peer, a.Current().Version()) //nolint:errcheck // failures are part of the test
			}
		}
		for _, r := range []*router{a, b} {
			for i := 1; i < len(r.adoptedVersions); i++ {
				if r.adoptedVersions[i] <= r.adoptedVersions[i-1] {
					t.Fatalf("adopted versions are not increasing: %v", r.adoptedVersions)
				}
			}
		}
	})
}

// TestAcceptedConfigurationSurvivesARestoredBackup restores the table from a backup that
// lacks the two latest versions. Routers must write the version in force again. Otherwise the
// next plan makes a second version 2, which no router with the first one adopts.
func TestAcceptedConfigurationSurvivesARestoredBackup(t *testing.T) {
	m := platformtest.New()
	a, b := newRouter(m, nil), newRouter(m, nil)
	confirmChange(t, m, 1)
	assert.NilError(t, b.Poll(ctx))
	earlierPlan, err := intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()}).
		Plan(ctx, "anna", []config.Change{config.Put(config.Service{Name: "s"})})
	assert.NilError(t, err)
	restoreBackup := m.Backup()
	confirmChange(t, m, 2)
	confirmChange(t, m, 3)
	assert.NilError(t, a.Poll(ctx))
	restoreBackup()
	assert.NilError(t, b.Poll(ctx))
	assert.NilError(t, a.Poll(ctx))
	assert.Equal(t, a.Current().Version(), uint64(3))
	assert.NilError(t, b.Poll(ctx))
	assert.Equal(t, b.Current().Version(), uint64(3))
	// The changes made since the backup are unknown, so a plan from before them conflicts.
	var conflict *intent.ConflictError
	s := intent.New(intent.Options{Table: m.Table(), Clock: clockwork.NewFakeClock()})
	_, err = s.Confirm(ctx, "anna", earlierPlan.ID)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	confirmChange(t, m, 4)
	for _, r := range []*router{a, b} {
		assert.NilError(t, r.Poll(ctx))
		assert.Equal(t, r.Current().Version(), uint64(4))
		assert.Assert(t, r.Current().Customer([]byte("key4")) != nil)
	}
}
