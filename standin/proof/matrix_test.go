package proof

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"zinccove.example/standin/fault"
	"zinccove.example/standin/fleet"
)

// cell provokes one fault, or a pair, while the load of the cell runs.
type cell struct {
	// step and fault name the place in the matrix; promise is what the cell
	// checks besides the promises that every cell checks.
	step, fault, promise string
	// provoke starts the fault; mend, which may be nil, ends it after the load.
	provoke func(*site) error
	mend    func(*site) error
	// partial tells that a target forgets what it ran.
	partial bool
	// concurrent faults happen while the load runs, others before it.
	concurrent bool
	// expect, which may be nil, checks what is special to the cell.
	expect func(*testing.T, *history)
	// long cells run only in the long form.
	long bool
}

// longForm names the environment variable that turns all cells on.
const longForm = "ZINCCOVE_LONG"

const (
	frozenTime = 2 * time.Second
	cutTime    = 3 * time.Second
	// into is the time after the start of the load at which processes fail.
	into = 150 * time.Millisecond
)

// storeFaults switches faults of the platform.
func storeFaults(faults ...fault.Fault) func(*site) error {
	return func(s *site) error { return fleet.SetFaults(s.PlatformAddress, faults...) }
}

func targetFaults(of func(*site) []*fleet.Target, faults ...fault.Fault) func(*site) error {
	return func(s *site) error {
		for _, t := range of(s) {
			if err := fleet.SetFaults(t.Address, faults...); err != nil {
				return err
			}
		}
		return nil
	}
}

func oneEngine(s *site) []*fleet.Target   { return s.Engines[:1] }
func allEngines(s *site) []*fleet.Target  { return s.Engines }
func allServices(s *site) []*fleet.Target { return s.Services }

// during runs a fault of processes after the load has started.
func during(act func(*site) error) func(*site) error {
	return func(s *site) error {
		time.Sleep(into)
		return act(s)
	}
}

// freeze stops a process, wakes it after a time and waits for it.
func freeze(of func(*site) *fleet.Process) func(*site) error {
	return during(func(s *site) error {
		if err := of(s).Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(frozenTime)
		return of(s).Signal(syscall.SIGCONT)
	})
}

func all(acts ...func(*site) error) func(*site) error {
	return func(s *site) error {
		for _, act := range acts {
			if err := act(s); err != nil {
				return err
			}
		}
		return nil
	}
}

func killRouter(s *site) error    { s.Routers[0].Kill(); return nil }
func restartRouter(s *site) error { return s.Routers[0].Restart() }
func killEngine(s *site) error    { s.Engines[0].Kill(); return nil }
func restartEngine(s *site) error { return s.Engines[0].Restart() }
func killService(s *site) error   { s.Services[0].Kill(); return nil }
func restartService(s *site) error {
	return s.Services[0].Restart()
}
func cutOff(s *site) error {
	if err := s.Cut("dc1"); err != nil {
		return err
	}
	time.Sleep(cutTime)
	return s.Heal()
}

func noCallsRan(t *testing.T, h *history) {
	assert.Equal(t, h.count("call", answered), 0)
	assert.Equal(t, h.count("call", notRun), 2*onceCalls)
	assert.Equal(t, h.count("stream", answered), streams)
}

func allAnswered(t *testing.T, h *history) {
	assert.Equal(t, h.count("stream", answered), streams)
	assert.Equal(t, h.count("call", answered), onceCalls)
}

func streamsAnswered(t *testing.T, h *history) { assert.Equal(t, h.count("stream", answered), streams) }

func callsUnknown(t *testing.T, h *history) {
	assert.Equal(t, h.count("call", answered), 0)
	assert.Assert(t, h.count("call", unknown) >= onceCalls)
}

// matrix is every step that a fault can meet, with the faults it can have.
var matrix = []cell{
	{step: "none", fault: "none", promise: "all answered once", expect: allAnswered},

	{step: "claim", fault: "store refuses", promise: "refused, not run; streams go on",
		provoke: storeFaults(fault.Fault{Step: "commit", Mode: fault.Refuse}), mend: storeFaults(), expect: noCallsRan},
	{step: "claim", fault: "store loses requests", promise: "refused, not run",
		provoke: storeFaults(fault.Fault{Step: "commit", Mode: fault.DropRequest}), mend: storeFaults(), expect: noCallsRan},
	{step: "claim", fault: "store loses answers after the effect", promise: "own claim is recognised",
		provoke: storeFaults(fault.Fault{Step: "commit", Mode: fault.DropAnswer, Count: 3}), mend: storeFaults(), expect: allAnswered},
	{step: "claim", fault: "store slow", promise: "late, not lost",
		provoke: storeFaults(fault.Fault{Step: "commit", Mode: fault.Delay, Delay: 300 * time.Millisecond}), mend: storeFaults(), expect: allAnswered},
	{step: "claim", fault: "reads refused and answers lost", promise: "at most once",
		provoke: storeFaults(fault.Fault{Step: "get", Mode: fault.Refuse}, fault.Fault{Step: "commit", Mode: fault.DropAnswer, Count: 2}), mend: storeFaults()},

	{step: "dispatch", fault: "engine refuses", promise: "served by others",
		provoke: targetFaults(oneEngine, fault.Fault{Step: "complete", Mode: fault.Refuse, Count: 8}), mend: targetFaults(oneEngine), expect: streamsAnswered},
	{step: "dispatch", fault: "engine hangs up before running", promise: "served by others",
		provoke: targetFaults(oneEngine, fault.Fault{Step: "complete", Mode: fault.DropRequest, Count: 8}), mend: targetFaults(oneEngine), expect: streamsAnswered},
	{step: "dispatch", fault: "engine runs and loses the answer", promise: "served by others",
		provoke: targetFaults(oneEngine, fault.Fault{Step: "complete", Mode: fault.DropAnswer, Count: 4}), mend: targetFaults(oneEngine), expect: streamsAnswered},
	{step: "dispatch", fault: "engine answers for another attempt", promise: "no foreign bytes",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Cross, Count: 2}), mend: targetFaults(allEngines), expect: streamsAnswered},
	{step: "dispatch", fault: "engine slow", promise: "late, not lost",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Delay, Delay: 300 * time.Millisecond}), mend: targetFaults(allEngines), expect: streamsAnswered},

	{step: "stream", fault: "cut", promise: "resumed, no token twice or missing",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Cut, After: 10, Count: 3}), mend: targetFaults(allEngines), expect: streamsAnswered},
	{step: "stream", fault: "truncated", promise: "resumed, no token twice or missing",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Truncate, After: 10, Count: 3}), mend: targetFaults(allEngines), expect: streamsAnswered},
	{step: "stream", fault: "tokens doubled", promise: "no token twice",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Duplicate, After: 10}), mend: targetFaults(allEngines), expect: streamsAnswered},
	{step: "stream", fault: "always cut", promise: "typed error, never a part as a whole",
		provoke: targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Cut, After: 5}), mend: targetFaults(allEngines)},

	{step: "call", fault: "service refuses", promise: "not run",
		provoke: targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.Refuse}), mend: targetFaults(allServices),
		expect: func(t *testing.T, h *history) { assert.Equal(t, h.count("call", answered), 0) }},
	{step: "call", fault: "service hangs up before running", promise: "unknown, not sent again",
		provoke: targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.DropRequest}), mend: targetFaults(allServices), expect: callsUnknown},
	{step: "call", fault: "service runs and loses the answer", promise: "unknown, once",
		provoke: targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.DropAnswer}), mend: targetFaults(allServices), expect: callsUnknown},
	{step: "call", fault: "service answers for another attempt", promise: "no foreign bytes, once",
		provoke: targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.Cross}), mend: targetFaults(allServices), expect: callsUnknown},
	{step: "call", fault: "service slow", promise: "late, not lost",
		provoke: targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.Delay, Delay: 300 * time.Millisecond}), mend: targetFaults(allServices), expect: allAnswered},

	{step: "router", fault: "killed", concurrent: true, promise: "others' callers are served", provoke: during(killRouter), mend: restartRouter},
	{step: "router", fault: "frozen and woken", concurrent: true, promise: "nothing doubled", provoke: freeze(func(s *site) *fleet.Process { return s.Routers[0].Process })},
	{step: "router", fault: "cut off with its data centre", concurrent: true, promise: "each side serves what it reaches", provoke: during(cutOff)},
	{step: "engine", fault: "killed", concurrent: true, promise: "streams resumed elsewhere", provoke: during(killEngine), mend: restartEngine, partial: true, expect: streamsAnswered},
	{step: "engine", fault: "frozen and woken", concurrent: true, promise: "late, whole", provoke: freeze(func(s *site) *fleet.Process { return s.Engines[0].Process }), expect: streamsAnswered},
	{step: "service", fault: "killed", concurrent: true, promise: "once", provoke: during(killService), mend: restartService, partial: true},
	{step: "service", fault: "frozen and woken", concurrent: true, promise: "once", provoke: freeze(func(s *site) *fleet.Process { return s.Services[0].Process })},
	{step: "store", fault: "frozen and woken", concurrent: true, promise: "streams go on", provoke: freeze(func(s *site) *fleet.Process { return s.Platform }), expect: streamsAnswered},

	{step: "claim and call", fault: "answers of store and service lost", promise: "at most once", long: true,
		provoke: all(storeFaults(fault.Fault{Step: "commit", Mode: fault.DropAnswer, Count: 4}), targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.DropAnswer, Count: 3})),
		mend:    all(storeFaults(), targetFaults(allServices))},
	{step: "claim and router", fault: "store slow, router killed", concurrent: true, promise: "at most once", long: true,
		provoke: all(storeFaults(fault.Fault{Step: "commit", Mode: fault.Delay, Delay: 200 * time.Millisecond}), during(killRouter)),
		mend:    all(storeFaults(), restartRouter)},
	{step: "claim and router", fault: "store slow, router frozen past its claims", concurrent: true, promise: "at most once", long: true,
		provoke: all(storeFaults(fault.Fault{Step: "commit", Mode: fault.Delay, Delay: 200 * time.Millisecond}), freeze(func(s *site) *fleet.Process { return s.Routers[0].Process })),
		mend:    storeFaults()},
	{step: "stream and router", fault: "streams cut, router killed", concurrent: true, promise: "no token twice or missing", long: true,
		provoke: all(targetFaults(allEngines, fault.Fault{Step: "complete", Mode: fault.Cut, After: 10, Count: 4}), during(killRouter)),
		mend:    all(targetFaults(allEngines), restartRouter)},
	{step: "call and router", fault: "service slow, router cut off", concurrent: true, promise: "at most once", long: true,
		provoke: all(targetFaults(allServices, fault.Fault{Step: "call", Mode: fault.Delay, Delay: 500 * time.Millisecond}), during(cutOff)),
		mend:    targetFaults(allServices)},
}

// notProvoked are places of the matrix that no cell reaches.
var notProvoked = []string{
	"claim x table answers reordered: the table's protocol has no pipelining",
	"request x caller frozen: see the limits proof",
	"any x three faults at once",
}

// TestFaultMatrix runs every cell against one fleet and compares what callers
// were told with what targets ran.
func TestFaultMatrix(t *testing.T) {
	s := newSiteOf(t, fleet.TestRouter, 3, "--token-time", "5ms")
	long := os.Getenv(longForm) != ""
	for _, c := range matrix {
		name := c.step + "/" + c.fault
		if c.long && !long {
			t.Logf("not run in the short form: %s", name)
			continue
		}
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) { s.runCell(t, c, name) })
	}
	for _, place := range notProvoked {
		t.Logf("not provoked: %s", place)
	}
}

func (s *site) runCell(t *testing.T, c cell, name string) {
	s.awaitHealthy(t)
	var g errgroup.Group
	switch {
	case c.concurrent:
		g.Go(func() error { return c.provoke(s) })
	case c.provoke != nil:
		assert.NilError(t, c.provoke(s))
	}
	h := s.load(name)
	assert.NilError(t, g.Wait())
	if c.mend != nil {
		assert.NilError(t, c.mend(s))
	}
	r, err := s.ran()
	assert.NilError(t, err)
	wrong := h.check(r, c.partial)
	assert.Equal(t, len(wrong), 0, "promise: %s\n%s", c.promise, strings.Join(wrong, "\n"))
	t.Logf("streams: %d answered, %d not run, %d unknown, %d silent; calls: %d answered, %d replayed, %d not run, %d unknown, %d silent",
		h.count("stream", answered), h.count("stream", notRun), h.count("stream", unknown), h.count("stream", silent),
		h.count("call", answered), h.count("call", replayed), h.count("call", notRun), h.count("call", unknown), h.count("call", silent))
	if c.expect != nil {
		c.expect(t, h)
	}
}

// awaitHealthy waits until every router serves streams and calls again, so
// that no cell inherits the faults of the one before.
func (s *site) awaitHealthy(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(40 * time.Second)
	for i, r := range s.Routers {
		for {
			probe := fmt.Sprintf("probe %d %d", i, time.Now().UnixNano())
			st, ca := stream(r, probe), callOnce(r, probe)
			if st.outcome == answered && ca.outcome == answered {
				break
			}
			assert.Assert(t, time.Now().Before(deadline), "%s: stream %+v call %+v\n%s", r.Name, st, ca, r.Output())
			time.Sleep(100 * time.Millisecond)
		}
	}
}
