// Package load generates the requests of many customers, sends them to a fleet and measures
// the outcome: the largest difference in service between customers that are backlogged
// at the same time, times to the first token and between tokens, refusals, and the utilization
// of the targets while requests are waiting.
//
// # Usage
//
//	e, err := load.Parse("flood.ini", body)
//	report, err := load.Run(ctx, e, clock)
//	report.WriteText(os.Stdout)
//
// # Experiment files
//
// INI with [experiment] (duration, warm-up, seed), [fleet] (callers, control
// addresses, engines, each separated by commas; slots of each engine) and one
// [customer.NAME] for each group of equal customers. Parse lists the keys.
// The same file and seed produce the same requests; arrival times
// depend on the clock.
//
// # How the gap is measured
//
// A customer counts as backlogged while one of its requests has waited longer
// than backlogAge for its first token. For each pair of customers and each maximal
// period in which both are backlogged, the gap is the largest change of the
// difference in their service per unit of weight. Service is counted when the client
// receives it: input tokens with the first token, output tokens one by one.
//
// # Limits
//
// Requests are sent to loopback addresses only, and the load stops after the duration of the
// experiment.
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

// Experiment describes a load and the fleet that receives it.
type Experiment struct {
	Duration time.Duration
	// WarmUp is the time at the start of the experiment whose latencies, results and points are
	// not recorded.
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
	// Outstanding is the number of requests kept in flight (closed loop); 0 disables this.
	Outstanding int
	// Think is the minimum pause between the end of one of the Outstanding requests and the
	// request that replaces it.
	Think time.Duration
	// Rate is the mean number of requests per second, sent at random times (open loop); 0 disables
	// this.
	Rate float64
	// Routers holds indexes into Callers; each request is sent to one of them, drawn at random.
	Routers []int
	// Input is the number of input tokens of each request, Output the mean number of output tokens.
	Input, Output int
	// Spread varies the cost: the number of output tokens of each request is Output times a factor
	// drawn between 1-Spread and 1+Spread.
	Spread float64
	// Start and Stop are the times since the start of the experiment between which requests are
	// sent.
	Start, Stop time.Duration
	Urgent      bool
	Timeout     time.Duration
}

// requestSpec describes one request to send.
type requestSpec struct {
	customer      int
	router        int
	input, output int
	number        int
}

// runner holds the state of a running experiment.
type runner struct {
	experiment *Experiment
	clock      clockwork.Clock
	http       *http.Client
	recorder   *recorder
	group      errgroup.Group
	started    time.Time
}

// maxConns limits the idle connections kept to each router.
const maxConns = 4096

// Run runs the experiment e and returns its report. It returns when the duration is over and
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

// startCustomer starts the load of customer i.
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

// drawer draws a customer's requests from a random source seeded by the experiment. It is safe for
// concurrent use.
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

// pause draws the time to the next request of a Poisson process with the customer's rate.
func (d *drawer) pause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.ExpFloat64() / d.spec.Rate * float64(time.Second))
}

func (r *runner) keepSending(ctx context.Context, c *Customer, d *drawer) {
	if !r.sleep(ctx, c.Start) {
		return
	}
	for ctx.Err() == nil && !r.stopped(c) {
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
	for !r.stopped(c) && r.sleep(ctx, d.pause()) {
		r.group.Go(func() error {
			r.send(ctx, d.next())
			return nil
		})
	}
}

func (r *runner) stopped(c *Customer) bool { return r.clock.Since(r.started) >= c.Stop }

// sleep waits for d. It returns false if the experiment ended before.
func (r *runner) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.clock.After(d):
		return true
	}
}
