package ingress

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestCallersAreToldWhenTheOnlyTargetWantsABackoff has a target turn a call away and ask for
// a backoff longer than callers wait. Routers left such a target alone for half a second only and
// then sent it what had waited, and calls that nobody could serve were held until their
// deadline.
func TestCallersAreToldWhenTheOnlyTargetWantsABackoff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		timeout = 900 * time.Millisecond
		soon    = 300 * time.Millisecond
	)
	for _, header := range []string{fasthttp.HeaderRetryAfter, "X-Target-Leaving"} {
		t.Run(header, func(t *testing.T) {
			var arrived atomic.Int32
			to := listenHTTP(t, func(ctx *fasthttp.RequestCtx) {
				arrived.Add(1)
				value := fmt.Sprint(backoff.Seconds())
				if header != fasthttp.HeaderRetryAfter {
					value = "1"
				}
				ctx.Response.Header.Set(header, value)
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			})
			s := newServer(t, to)
			for i := range 6 {
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				defer fasthttp.ReleaseRequest(req)
				defer fasthttp.ReleaseResponse(resp)
				req.SetRequestURI(fmt.Sprintf("http://%s/services/s/a", s.Address()))
				req.Header.SetMethod(fasthttp.MethodPost)
				req.Header.Set(fasthttp.HeaderAuthorization, "Bearer key")
				req.Header.Set(headerTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
				began := time.Now()
				assert.NilError(t, fasthttp.DoTimeout(req, resp, 5*time.Second))
				took := time.Since(began)
				assert.Equal(t, resp.StatusCode(), fasthttp.StatusServiceUnavailable, string(resp.Body()))
				assert.Assert(t, took < soon, "call %d was held for %v", i, took)
				told, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
				assert.NilError(t, err)
				assert.Assert(t, time.Duration(told)*time.Second > backoff-2*time.Second, "told %d s", told)
				time.Sleep(150 * time.Millisecond)
			}
			assert.Equal(t, arrived.Load(), int32(1))
		})
	}
}
