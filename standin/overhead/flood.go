package overhead

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/procfs"
)

// The slow service takes 160 calls a second.
const (
	slowService   = "slow"
	slowWorkers   = 16
	slowCallTime  = "100ms"
	slowPerSecond = 160
	floodFactor   = 10
)

// flood sends ten times what the slow service takes and measures the router's
// memory, what it answers and what it refuses.
func (o *options) flood(b *bench, out io.Writer) error {
	before, err := procfs.Memory(b.router.PID())
	if err != nil {
		return err
	}
	var answered, refused, other atomic.Int64
	client := &fasthttp.HostClient{Addr: b.router.Caller.String(), MaxConns: 4 * floodFactor * slowPerSecond}
	defer client.CloseIdleConnections()
	var g errgroup.Group
	most := 0
	end := time.Now().Add(o.Duration)
	pace := pacer(floodFactor*slowPerSecond, 1)
	for n := 0; time.Now().Before(end); n++ {
		pace()
		g.Go(func() error {
			switch slowCall(client, b) {
			case fasthttp.StatusOK:
				answered.Add(1)
			case fasthttp.StatusTooManyRequests:
				refused.Add(1)
			default:
				other.Add(1)
			}
			return nil
		})
		if n%floodFactor == 0 {
			now, err := procfs.Memory(b.router.PID())
			if err != nil {
				return err
			}
			most = max(most, now)
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(out, "flood of %d times the capacity for %s\n  router        %d MB before, at most %d MB; %d answered, %d refused at once, %d past their deadline or else\n",
		floodFactor, o.Duration, before>>20, most>>20, answered.Load(), refused.Load(), other.Load())
	return nil
}

// slowCall makes one call with a deadline of two seconds and returns the
// status, 0 if there was none.
func slowCall(client *fasthttp.HostClient, b *bench) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + b.router.Caller.String() + "/services/" + slowService + "/x")
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey(customer))
	req.Header.Set("X-Timeout-Ms", "2000")
	if client.Do(req, resp) != nil {
		return 0
	}
	return resp.StatusCode()
}
