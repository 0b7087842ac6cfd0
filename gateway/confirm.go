package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"zinccove.example/zinccove/platform"
	"zinccove.example/zinccove/platform/wire"
	"zinccove.example/zinccove/revision"
)

const (
	// confirmTimeout bounds how long a resumed stream waits for the store. Another router may have
	// the answer that this one lacks, so that its caller is better sent there.
	confirmTimeout = 100 * time.Millisecond
	// confirmsPerSecond bounds the reads of all routers of a fleet together.
	confirmsPerSecond = 20
)

// confirmer confirms with the store that the list of targets lacks no version. A list that was read
// a moment ago does not suffice: a version may have joined since, of which a router that was paused or
// cut off knows nothing. Each read serves all requests that arrived before it began.
type confirmer struct {
	gateway *Gateway
	limiter *rate.Limiter
	// changes reads the changes of the table of targets; tests replace it.
	changes func(since revision.Revision) (platform.Batch, error)

	mu sync.Mutex
	// next is the read that requests join, which has not begun; nil if none is due.
	next *targetRead
	// began is when the read in progress began; zero if there is none.
	began time.Time
}

// targetRead is a read of what changed in the table of targets. The other fields are set once done is
// closed.
type targetRead struct {
	done chan struct{}
	// ok is set if all versions of targets that the table had since the known revision are known.
	ok bool
	// versions are those of entries that were written since, by service.
	versions map[string][]string
}

func newConfirmer(g *Gateway) *confirmer {
	return &confirmer{
		gateway: g, limiter: rate.NewLimiter(confirmsPerSecond, confirmsPerSecond),
		changes: func(since revision.Revision) (platform.Batch, error) {
			return g.store.Changes(context.Background(), wire.TableTargets, since)
		},
	}
}

// confirm reports whether no version of a service but the given one has been in the table of targets
// since the list of the placer was read, up to a time after the call. It is false if the store does
// not respond in time.
func (c *confirmer) confirm(service, version string) bool {
	r := c.join()
	if r == nil {
		return false
	}
	timer := c.gateway.clock.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
		return r.confirms(service, version)
	case <-timer.Chan():
		return false
	}
}

func (r *targetRead) confirms(service, version string) bool {
	for _, v := range r.versions[service] {
		if v != version {
			return false
		}
	}
	return r.ok
}

// join returns a read that has not begun, nil if none can be expected to end in time.
func (c *confirmer) join() *targetRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.gateway.clock.Now()
	reading := !c.began.IsZero()
	if reading && now.Sub(c.began) > confirmTimeout {
		return nil // the store does not respond
	}
	if c.next != nil {
		return c.next
	}
	c.limit(now)
	if !c.limiter.AllowN(now, 1) {
		return nil
	}
	c.next = &targetRead{done: make(chan struct{})}
	if !reading {
		c.began = now
		c.gateway.group.Go(c.run)
	}
	return c.next
}

// limit sets the share of this router in the reads of the fleet.
func (c *confirmer) limit(now time.Time) {
	share := float64(confirmsPerSecond) / float64(max(c.gateway.origins.routers.Load().Len(), 1))
	c.limiter.SetLimitAt(now, rate.Limit(share))
	c.limiter.SetBurstAt(now, max(int(share), 1))
}

// run reads until no request waits for a read that has not begun.
func (c *confirmer) run() error {
	for r := c.take(); r != nil; r = c.take() {
		c.read(r)
		close(r.done)
	}
	return nil
}

// take begins the next read; requests that arrive later join another one.
func (c *confirmer) take() *targetRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.next
	c.next, c.began = nil, time.Time{}
	if r != nil {
		c.began = c.gateway.clock.Now()
	}
	return r
}

// read reads which versions the table had since the revision that the placer knows. An entry that
// was removed tells none, so that it has to be known, and one that is unreadable is of any.
func (c *confirmer) read(r *targetRead) {
	since := c.gateway.targetsApplied.Load()
	if since == nil {
		return
	}
	b, err := c.changes(*since)
	if err != nil {
		c.gateway.log.Info().Err(err).Msg("versions of targets not confirmed")
		return
	}
	r.versions = make(map[string][]string)
	var removed []string
	for _, change := range b.Changes {
		if change.Removed {
			removed = append(removed, change.Key)
			continue
		}
		t, err := platform.DecodeTarget(change)
		if err != nil {
			c.gateway.log.Info().Err(err).Msg("versions of targets not confirmed")
			return
		}
		r.versions[t.Service] = append(r.versions[t.Service], t.Version)
	}
	r.ok = len(b.Changes) < wire.MaxRows && c.gateway.placer.KnowsTargets(removed)
}
