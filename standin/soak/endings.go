package soak

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/routesite"
	standin "zinccove.example/standin/run"
	"zinccove.example/standin/worker"
)

// mostEnds is the number of targets that may end under one request: three, and three more
// once the routers had the time to tell each other.
const mostEnds = 6

// endTargets has callers send a request that ends its targets to all routers, again and
// again until the fault is mended. Targets that end start again.
func (r *run) endTargets() (func() error, error) {
	path := routesite.Paths[r.draw.IntN(len(routesite.Paths))]
	body := fmt.Sprintf("%s %d", worker.EndingBody, r.draw.Uint64())
	var stopped atomic.Bool
	var g errgroup.Group
	for _, router := range r.site.Routers {
		g.Go(func() error {
			for !stopped.Load() {
				r.site.Repeat(router.Caller, "POST", path, key, body)
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	g.Go(func() error { return r.reviveUntil(&stopped) })
	return func() error {
		stopped.Store(true)
		err := errors.Join(g.Wait(), r.reviveAll())
		if ends := len(r.endsBy(body)); ends > mostEnds {
			r.violate("%d targets ended under one request of %s", ends, path)
		}
		return err
	}, nil
}

const (
	// partPeriod is the time between two requests with a part that ends targets.
	partPeriod = 150 * time.Millisecond
	// knownEnds is the number of targets that may end under a part, and lateEnds that of those which
	// may end later than contactTime after these.
	knownEnds   = 5
	lateEnds    = 3
	contactTime = 3 * time.Second
	// partTime is how long requests with the part come after the fault would be over.
	partTime = 2*contactTime + time.Second
)

// partStages are the stages at which a part of prompts ends targets. A proxy between routers and targets
// accepts connections while its target is away, but ends those that led to the process that has ended.
var partStages = []worker.Stage{
	worker.BeforeHead, worker.AfterHead, worker.AfterEvent, worker.WithLength, worker.UnframedHead, worker.InsideEvent, worker.AtBorder,
}

// endTargetsByPart has callers send requests, no two alike, that share a part of their prompts which
// ends engines, to one router after the other.
func (r *run) endTargetsByPart() (func() error, error) {
	part := worker.PartOf(partStages[r.draw.IntN(len(partStages))], fmt.Sprint(r.draw.Uint32()))
	var stopped atomic.Bool
	var g errgroup.Group
	g.Go(func() error {
		var calls errgroup.Group
		for n := 0; !stopped.Load(); n++ {
			router := r.site.Routers[n%len(r.site.Routers)]
			path := routesite.Paths[n/len(r.site.Routers)%2] // those of streams
			calls.Go(func() error {
				r.site.CallWithParts(router.Caller, "POST", path, key, "aa", part)
				return nil
			})
			time.Sleep(partPeriod)
		}
		return calls.Wait()
	})
	g.Go(func() error { return r.reviveUntil(&stopped) })
	return func() error {
		time.Sleep(partTime)
		stopped.Store(true)
		err := errors.Join(g.Wait(), r.reviveAll())
		r.checkPart(part)
		return err
	}, nil
}

// checkPart holds the bound on targets that end under a part.
func (r *run) checkPart(part string) {
	ends := r.endsBy(part)
	if len(ends) < knownEnds {
		return
	}
	late := 0
	for _, at := range ends {
		if at.Sub(ends[knownEnds-1]) > contactTime {
			late++
		}
	}
	if late > lateEnds {
		r.violate("%d targets ended under part %s, %d of them late", len(ends), part, late)
	}
}

func (r *run) reviveUntil(stopped *atomic.Bool) error {
	for !stopped.Load() {
		if err := r.reviveTargets(); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// reviveAll starts all targets again that have ended.
func (r *run) reviveAll() error {
	err := r.reviveTargets()
	time.Sleep(targetDown)
	return errors.Join(err, r.reviveTargets())
}

// targetDown is how long a target that ended is away.
const targetDown = 200 * time.Millisecond

// reviveTargets starts targets again that ended, and notes what ended them.
func (r *run) reviveTargets() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	for _, w := range r.site.Workers {
		if !w.Ended() {
			continue
		}
		if first, seen := r.endedAt[w.Process]; !seen || time.Since(first) < targetDown {
			r.endedAt[w.Process] = cmp.Or(first, time.Now())
			continue
		}
		for line := range strings.Lines(w.Output()) {
			if cause, ok := strings.CutPrefix(strings.TrimSpace(line), standin.EndedBy); ok {
				r.ends[cause] = append(r.ends[cause], r.endedAt[w.Process])
			}
		}
		err = errors.Join(err, w.Restart())
	}
	return err
}

// endsBy returns when targets ended by a cause.
func (r *run) endsBy(cause string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[cause]
}
