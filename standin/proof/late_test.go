package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/routesite"
)

// TestUnframedStreamOfReplacedTargetReadLateDoesNotLookComplete has a router stand still from before a
// response begins until its target has ended in the midst of it and a process is back at its address.
func TestUnframedStreamOfReplacedTargetReadLateDoesNotLookComplete(t *testing.T) {
	const callTime = 300 * time.Millisecond
	replacements := map[string]func(*routesite.Site, *fleet.Target) error{
		"back": func(_ *routesite.Site, w *fleet.Target) error { return w.Restart() },
		"another": func(s *routesite.Site, w *fleet.Target) error {
			_, err := s.AddWorker("other-"+w.Name, routesite.Model, w.DataCentre, "--listen", w.Address.String())
			return err
		},
	}
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			s := newRouteSite(t, 1, "--unframed-every", "1", "--event-time", "20ms", "--call-time", callTime.String())
			configure(t, s, routesite.Config(1, routeKey))
			assert.NilError(t, s.AwaitReady(routeWait))
			r, engine := s.Routers[0], s.Workers[0]
			awaitStatus(t, s, r, "/draft/", routeKey, 200)
			var g errgroup.Group
			var a *routesite.Answer
			g.Go(func() error {
				a = s.Call(r.Caller, "POST", "/draft/", routeKey)
				return nil
			})
			time.Sleep(callTime / 2)
			assert.NilError(t, r.Signal(syscall.SIGSTOP))
			time.Sleep(callTime)
			engine.Kill()
			assert.NilError(t, replace(s, engine))
			assert.NilError(t, r.Signal(syscall.SIGCONT))
			assert.NilError(t, g.Wait())
			time.Sleep(shortDrain) // the line about the end may come after it
			assert.Equal(t, a.Disorder(), routesite.InOrder, "%q\n%s", a.Body, s.LinesAbout(fmt.Sprintf("%q", a.ID)))
		})
	}
}
