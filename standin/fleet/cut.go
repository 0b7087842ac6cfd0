package fleet

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Cut cuts a data centre off from all others and from the platform. The
// routers must be test routers.
func (f *Fleet) Cut(dataCentre string) error {
	for _, r := range f.Running() {
		inside := r.DataCentre == dataCentre
		blocked := f.addresses(func(dc string) bool { return (dc == dataCentre) != inside })
		if inside {
			blocked = append(blocked, f.PlatformAddress)
		}
		if err := r.cut(blocked); err != nil {
			return err
		}
	}
	return nil
}

// Heal ends all cuts.
func (f *Fleet) Heal() error {
	for _, r := range f.Running() {
		if err := r.cut([]netip.AddrPort{}); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns all addresses in data centres for which want is true.
func (f *Fleet) addresses(want func(dataCentre string) bool) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, r := range f.Routers {
		if want(r.DataCentre) {
			addrs = append(addrs, r.Peer, r.Control)
		}
	}
	for _, t := range f.targets {
		if want(t.DataCentre) {
			addrs = append(addrs, t.Address)
		}
	}
	return addrs
}

// CutFrom cuts a test router off from the given addresses only.
func (r *Router) CutFrom(addrs ...netip.AddrPort) error { return r.cut(addrs) }

// Isolate cuts a router off from the platform and from all other routers, but not from targets. All
// routers must be test routers.
func (f *Fleet) Isolate(r *Router) error {
	blocked := []netip.AddrPort{f.PlatformAddress}
	for _, other := range f.Running() {
		if other == r {
			continue
		}
		blocked = append(blocked, other.Peer, other.Control)
		if err := other.cut([]netip.AddrPort{r.Peer, r.Control}); err != nil {
			return err
		}
	}
	return r.cut(blocked)
}

func (r *Router) cut(addrs []netip.AddrPort) error {
	body, err := json.Marshal(addrs)
	if err != nil {
		return err
	}
	return put(r.faults, "/cut", body)
}

// Suspend has a test router stand still for a time that its steady clock does not count, as
// on a host that is suspended.
func (r *Router) Suspend(d time.Duration) error {
	var g errgroup.Group
	g.Go(func() error { return put(r.faults, "/suspend", []byte(strconv.FormatInt(d.Nanoseconds(), 10))) })
	time.Sleep(d)
	if err := r.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return g.Wait()
}
