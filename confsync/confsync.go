// Package confsync puts the configuration in force on this router.
//
// The version in force never decreases: a configuration is adopted only if its
// version is higher, whether it comes from the platform or from a peer. A
// router that has reached neither has no configuration and refuses requests.
//
// # Usage
//
//	s := confsync.New(confsync.Options{Store: store, FetchPeer: fetch, Adopt: dispatcher.Configure})
//	err := s.Poll(ctx)                          // from the platform
//	err = s.AdoptFromPeer(ctx, peer, version)   // a peer announced a higher version
//	snap := s.Current()                         // nil before the first configuration
package confsync

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/config"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/intent"
	"zinccove.example/zinccove/platform"
)

// Snapshot is a configuration in force together with its encoded form.
type Snapshot struct {
	Config *config.Config
	Body   []byte
	Digest string
	// customers maps the digest of an API key to its customer.
	customers map[string]*config.Customer
}

// Customer returns the customer of an API key, or nil. The key is looked up by
// its digest, so that the duration reveals nothing about other keys.
func (s *Snapshot) Customer(key []byte) *config.Customer {
	return s.customers[config.Digest(key)]
}

// Version returns the snapshot's version, 0 for none.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.Config.Version
}

// Options configure a syncer. All are required.
type Options struct {
	Store *intent.Store
	// FetchPeer fetches the configuration in force on another router.
	FetchPeer func(ctx context.Context, control netip.AddrPort) (body []byte, digest string, err error)
	// Adopt is called with each configuration that is put in force, in the order of versions.
	Adopt func(*config.Config)
}

// Syncer holds the configuration in force. It is safe for concurrent use.
type Syncer struct {
	options Options
	current atomic.Pointer[Snapshot]
	// adopting serializes adoptions.
	adopting sync.Mutex
}

// New returns a syncer without a configuration.
func New(o Options) *Syncer { return &Syncer{options: o} }

// Current returns the configuration in force, nil if there is none yet.
func (s *Syncer) Current() *Snapshot { return s.current.Load() }

// Poll adopts the platform's configuration if its version is higher. If the platform lost the
// one in force, Poll writes it there again.
func (s *Syncer) Poll(ctx context.Context) error {
	head, err := s.options.Store.Head(ctx)
	if err != nil || head.Version == s.Current().Version() {
		return err
	}
	if cur := s.Current(); cur != nil && head.Version < cur.Version() {
		return s.restore(ctx, cur)
	}
	var from *config.Config
	if cur := s.Current(); cur != nil {
		from = cur.Config
	}
	cfg, err := s.options.Store.Advance(ctx, from, head)
	if err != nil {
		return err
	}
	s.adopt(cfg)
	return nil
}

// restore writes the configuration in force to the platform again, unless another router did.
func (s *Syncer) restore(ctx context.Context, cur *Snapshot) error {
	err := s.options.Store.Restore(ctx, cur.Config)
	var conflict *platform.ConflictError
	if eris.As(err, &conflict) {
		return nil
	}
	return err
}

// AdoptFromPeer adopts the configuration of a peer that announced the given version,
// unless that is not higher than the one in force.
func (s *Syncer) AdoptFromPeer(ctx context.Context, control netip.AddrPort, version uint64) error {
	if version <= s.Current().Version() {
		return nil
	}
	body, digest, err := s.options.FetchPeer(ctx, control)
	if err != nil {
		return errs.Wrap(err, "fetch configuration", control.String())
	}
	cfg, err := config.Decode(body, digest)
	if err != nil {
		return errs.Wrap(err, "decode configuration", control.String())
	}
	s.adopt(cfg)
	return nil
}

// adopt puts a configuration in force unless the one in force is at least as new.
func (s *Syncer) adopt(cfg *config.Config) {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if cfg.Version <= s.Current().Version() {
		return
	}
	s.current.Store(newSnapshot(cfg))
	s.options.Adopt(cfg)
}

func newSnapshot(cfg *config.Config) *Snapshot {
	body, digest := cfg.Encode()
	s := &Snapshot{Config: cfg, Body: body, Digest: digest, customers: make(map[string]*config.Customer)}
	for i := range cfg.Customers {
		for _, d := range cfg.Customers[i].KeyDigests {
			s.customers[d] = &cfg.Customers[i]
		}
	}
	return s
}
