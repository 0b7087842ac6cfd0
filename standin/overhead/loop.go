package overhead

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/procfs"
)

// measurement is the result of a loop.
type measurement struct {
	requests  int64
	elapsed   time.Duration
	cpu       time.Duration
	latencies *hdrhistogram.Histogram
}

func (m *measurement) perCore() float64 { return float64(m.requests) / m.cpu.Seconds() }

// String returns the measurement in one line.
func (m *measurement) String() string {
	us := func(q float64) time.Duration {
		return time.Duration(m.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	return fmt.Sprintf("%8.0f/s %8.0f/s a core   p50 %8s  p99 %8s", float64(m.requests)/m.elapsed.Seconds(), m.perCore(), us(50), us(99))
}

// closedLoop calls as fast as the connections allow, or at a rate a second if
// that is above 0, for a duration.
func closedLoop(w way, connections int, duration time.Duration, rate float64) (*measurement, error) {
	client := &fasthttp.HostClient{Addr: w.addr.String(), MaxConns: connections}
	defer client.CloseIdleConnections()
	before, err := procfs.CPUTime(w.pid)
	if err != nil {
		return nil, err
	}
	m := &measurement{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var g errgroup.Group
	started := time.Now()
	for i := range connections {
		g.Go(func() error {
			own := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			err := callUntil(client, w, own, started.Add(duration), pacer(rate/float64(connections), uint64(i)))
			mu.Lock()
			defer mu.Unlock()
			m.latencies.Merge(own)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	m.elapsed = time.Since(started)
	m.requests = m.latencies.TotalCount()
	after, err := procfs.CPUTime(w.pid)
	m.cpu = after - before
	return m, err
}

// pacer returns a function that waits for the next arrival of a Poisson
// process; rate 0 never waits.
func pacer(rate float64, seed uint64) func() {
	if rate == 0 {
		return func() {}
	}
	rng := rand.New(rand.NewPCG(1, seed))
	next := time.Now()
	return func() {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
}

func callUntil(client *fasthttp.HostClient, w way, latencies *hdrhistogram.Histogram, end time.Time, pace func()) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.addr.String() + w.path)
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(customer))
	for pace(); time.Now().Before(end); pace() {
		started := time.Now()
		if err := client.Do(req, resp); err != nil {
			return fmt.Errorf("%s: %w", w.name, err)
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("%s: status %d: %s", w.name, resp.StatusCode(), resp.Body())
		}
		latencies.RecordValue(time.Since(started).Microseconds()) //nolint:errcheck // inside the bounds
	}
	return nil
}
