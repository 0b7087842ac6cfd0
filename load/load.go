// Package load sends the requests of many customers to a fleet and measures
// what they get: the largest difference in service between customers that wait
// at the same time, waits, times between tokens, refusals, and how busy the
// targets are while work waits.
//
// # Usage
//
//	e, err := load.Parse("flood.ini", body)
//	report, err := load.Run(ctx, e, clock)
//	report.Write(os.Stdout)
//
// # Experiment files
//
// INI with [experiment] (duration, warm-up, seed), [fleet] (callers, control
// addresses, engines, each separated by commas; slots of each engine) and one
// [customer.NAME] for each group of equal customers. The keys stand in
// parse.go. The same file and seed send the same requests; arrival times
// follow the clock.
//
// # How the gap is measured
//
// A customer counts as backlogged while one of its requests has waited longer
// than backlogAge for its first token. For each two customers and each longest
// time in which both are backlogged, the gap is the largest change of the
// difference of their service per unit of weight. Service is counted where it
// arrives: input tokens with the first token, output tokens one by one.
//
// # Limits
//
// Load goes to loopback addresses only, and ends by itself after the duration.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// Experiment is a load and where it goes.
type Experiment struct {
	Duration time.Duration
	// WarmUp is left out of all measures.
	WarmUp    time.Duration
	Seed      uint64
	Callers   []netip.AddrPort
	Controls  []netip.AddrPort
	Engines   []netip.AddrPort
	Slots     int
	Customers []Customer
}

// Customer is the load of one customer.
type Customer struct {
	Name   string
	Key    string
	Model  string
	Weight float64
	// Outstanding keeps so many requests sent and not answered; 0 turns it off.
	Outstanding int
	// Think is the pause after an answer before the next request of the same
	// place.
	Think time.Duration
	// Rate sends so many requests a second, at random times; 0 turns it off.
	Rate float64
	// Routers are the indexes into Callers that requests go to, in turn at
	// random.
	Routers []int
	// Input and Output are the mean numbers of tokens.
	Input, Output int
	// Spread makes costs vary: each request's output is Output times a number
	// drawn between 1-Spread and 1+Spread.
	Spread float64
	// Start and Stop bound the load inside the experiment.
	Start, Stop time.Duration
	Urgent      bool
	Timeout     time.Duration
}

// requestSpec is one request to send.
type requestSpec struct {
	customer      int
	router        int
	input, output int
	number        int
}

// runner holds a running experiment.
type runner struct {
	experiment *Experiment
	clock      clockwork.Clock
	http       *http.Client
	recorder   *recorder
	group      errgroup.Group
	started    time.Time
}

// maxConns bounds the connections to each router.
const maxConns = 4096

// Run sends the load and measures it. It returns when the duration is over and
// every request has ended or was cancelled.
func Run(ctx context.Context, e *Experiment, clock clockwork.Clock) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	r := &runner{
		experiment: e,
		clock:      clock,
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}},
		started:    clock.Now(),
		recorder:   newRecorder(e, clock.Now()),
	}
	defer r.http.CloseIdleConnections()
	for i := range e.Customers {
		r.startCustomer(ctx, i)
	}
	r.group.Go(func() error { return r.sample(ctx) })
	if err := r.group.Wait(); err != nil {
		return nil, err
	}
	return r.recorder.report(), nil
}

// startCustomer starts the load of one customer.
func (r *runner) startCustomer(ctx context.Context, i int) {
	c := &r.experiment.Customers[i]
	draw := newDrawer(r.experiment, i)
	for range c.Outstanding {
		r.group.Go(func() error {
			r.keepSending(ctx, c, draw)
			return nil
		})
	}
	if c.Rate > 0 {
		r.group.Go(func() error {
			r.sendAtRate(ctx, c, draw)
			return nil
		})
	}
}

// drawer draws a customer's requests.
type drawer struct {
	customer int
	spec     *Customer

	mu  sync.Mutex
	rng *rand.Rand
	n   int
}

func newDrawer(e *Experiment, customer int) *drawer {
	return &drawer{customer: customer, spec: &e.Customers[customer], rng: rand.New(rand.NewPCG(e.Seed, uint64(customer)))}
}

func (d *drawer) next() requestSpec {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n++
	factor := 1 - d.spec.Spread + 2*d.spec.Spread*d.rng.Float64()
	return requestSpec{
		customer: d.customer,
		router:   d.spec.Routers[d.rng.IntN(len(d.spec.Routers))],
		input:    d.spec.Input,
		output:   max(int(float64(d.spec.Output)*factor), 1),
		number:   d.n,
	}
}

// pause draws the time to the next arrival at a rate.
func (d *drawer) pause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.ExpFloat64() / d.spec.Rate * float64(time.Second))
}

func (r *runner) keepSending(ctx context.Context, c *Customer, d *drawer) {
	if !r.sleep(ctx, c.Start) {
		return
	}
	for ctx.Err() == nil && !r.over(c) {
		pause := max(r.send(ctx, d.next()), c.Think)
		if pause > 0 && !r.sleep(ctx, pause) {
			return
		}
	}
}

func (r *runner) sendAtRate(ctx context.Context, c *Customer, d *drawer) {
	if !r.sleep(ctx, c.Start) {
		return
	}
	for !r.over(c) && r.sleep(ctx, d.pause()) {
		r.group.Go(func() error {
			r.send(ctx, d.next())
			return nil
		})
	}
}

func (r *runner) over(c *Customer) bool { return r.clock.Since(r.started) >= c.Stop }

// sleep waits and reports whether the experiment goes on.
func (r *runner) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(d):
		return true
	}
}
