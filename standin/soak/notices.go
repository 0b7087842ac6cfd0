package soak

import (
	"net/netip"
	"time"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
	"zinccove.example/standin/worker"
)

const (
	// drain is the time after which a target that leaves gets nothing new.
	drain = 2 * time.Second
	// grace is for what was on its way when a target asked for a backoff, or said that it
	// leaves; after it mostInBackoff requests of a router may come until the backoff is over.
	grace         = 500 * time.Millisecond
	mostInBackoff = 2
	// longestBackoff bounds what targets ask for.
	longestBackoff = 2 * time.Second
)

// upset is when a router was ended or stood still: it need not know what it heard before.
type upset struct {
	router *fleet.Router
	at     time.Time
}

func (r *run) upset(router *fleet.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upsets = append(r.upsets, upset{router, time.Now()})
}

// upsetSince reports whether a router was upset since a time. The fault may have begun a
// little before it was noted.
func (r *run) upsetSince(router netip.AddrPort, at time.Time) bool {
	for _, u := range r.upsets {
		if u.router.Caller == router && !u.at.Before(at.Add(-longestFault)) {
			return true
		}
	}
	return false
}

// startSpeaker starts a target that says something of itself. Its connections are not
// disturbed and it does not stand still, so that what reaches it was sent just before.
func (r *run) startSpeaker() (*fleet.Target, error) {
	services := []string{routesite.Model, routesite.Plain}
	w, err := r.startTarget(services[r.draw.IntN(len(services))], r.draw.IntN(r.options.Routers), shortDrain)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speakers[w] = true
	last := len(r.proxies) - 1
	r.quiet = append(r.quiet, r.proxies[last])
	r.proxies = r.proxies[:last]
	return w, nil
}

// wantBackoff has a target turn all requests away and ask for a backoff.
func (r *run) wantBackoff() (func() error, error) {
	w, err := r.startSpeaker()
	if err != nil {
		return nil, err
	}
	backoff := time.Duration(1 + r.draw.Int64N(int64(longestBackoff)))
	process := w.Process
	mend := func() error {
		r.checkBackoff(w, process, backoff)
		return nil
	}
	return mend, fleet.SetFaults(w.Address, fault.Fault{Step: "run", Mode: fault.Backoff, Delay: backoff})
}

// sayLeaving has a target say in its answers that it leaves, while its entry says nothing.
func (r *run) sayLeaving() (func() error, error) {
	w, err := r.startSpeaker()
	if err != nil {
		return nil, err
	}
	process := w.Process
	if err := fleet.SetFaults(w.Address, fault.Fault{Step: "say", Mode: fault.Leaving}); err != nil {
		return nil, err
	}
	said := time.Now()
	return func() error {
		time.Sleep(drain + 2*grace)
		r.checkWord(w, process, said)
		return nil
	}, nil
}

// arrivals returns the requests that a run of a target got, by the router that sent them;
// none if it has ended.
func (r *run) arrivals(w *fleet.Target, run *fleet.Process) map[netip.AddrPort][]worker.Arrival {
	var list []worker.Arrival
	if err := fleet.GetJSON(w.Address, "/arrivals", &list); err != nil || w.Process != run {
		return nil
	}
	time.Sleep(grace) // callers take the last answers
	r.mu.Lock()
	defer r.mu.Unlock()
	routers := make(map[string]netip.AddrPort, len(r.answers))
	for _, a := range r.answers {
		routers[a.ID] = a.Router
	}
	by := make(map[netip.AddrPort][]worker.Arrival)
	for _, a := range list {
		if router, ok := routers[a.ID]; ok {
			by[router] = append(by[router], a)
		}
	}
	return by
}

// checkBackoff holds that each router kept to what the target asked of it.
func (r *run) checkBackoff(w *fleet.Target, run *fleet.Process, backoff time.Duration) {
	for router, list := range r.arrivals(w, run) {
		for i, asked := range list {
			n := 0
			for _, a := range list[i+1:] {
				if after := a.At.Sub(asked.At); after > grace && after < backoff {
					n++
				}
			}
			if n > mostInBackoff && !r.excused(router, asked.At) {
				r.violate("%d requests of %s reached %s in a backoff of %s", n, router, w.Name, backoff)
			}
		}
	}
}

// checkWord holds that no router sent a target anything later than the drain after its first
// answer with the word, which it gives from a time on.
func (r *run) checkWord(w *fleet.Target, run *fleet.Process, said time.Time) {
	for router, list := range r.arrivals(w, run) {
		var first time.Time
		for _, a := range list {
			switch late := a.At.Sub(first); {
			case a.At.Before(said):
			case first.IsZero():
				first = a.At
			case late > drain+grace && !r.excused(router, first):
				r.violate("a request of %s reached %s %s after it said that it leaves", router, w.Name, late)
			}
		}
	}
}

func (r *run) excused(router netip.AddrPort, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upsetSince(router, since)
}
