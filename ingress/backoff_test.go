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

// TestCallsAreRefusedWhileTheOnlyTargetBacksOff has a target refuse a call and request a
// backoff that is longer than the deadline of the calls. It guards against two failures: routers
// backed off for only half a second and then sent the target the queued calls, and calls that no
// target could serve were held until their deadline.
func TestCallsAreRefusedWhileTheOnlyTargetBacksOff(t *testing.T) {
	const (
		backoff = 3 * time.Second
		timeout = 900 * time.Millisecond
		maxTime = 300 * time.Millisecond
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
				assert.Assert(t, took < maxTime, "call %d took %v", i, took)
				retryAfter, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
				assert.NilError(t, err)
				assert.Assert(t, time.Duration(retryAfter)*time.Second > backoff-2*time.Second, "Retry-After is %d s", retryAfter)
				time.Sleep(150 * time.Millisecond)
			}
			assert.Equal(t, arrived.Load(), int32(1))
		})
	}
}
