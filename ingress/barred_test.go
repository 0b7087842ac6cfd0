package ingress

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestCallThatTerminatesItsTargetsIsBarred guards against a call that terminates each
// target that runs it and is sent again by its caller: a limit of attempts does not bound
// that, as each repetition is a new request. Other calls, and the same body on another path,
// must be served.
func TestCallThatTerminatesItsTargetsIsBarred(t *testing.T) {
	const restartTime = 900 * time.Millisecond
	var terminations atomic.Int32
	var restartedAt atomic.Int64
	to := listenHTTP(t, func(ctx *fasthttp.RequestCtx) {
		down := time.Now().UnixNano() < restartedAt.Load()
		ends := !down && string(ctx.PostBody()) == "ends" && string(ctx.Path()) == "/a"
		if ends {
			terminations.Add(1)
			restartedAt.Store(time.Now().Add(restartTime).UnixNano())
		}
		if down || ends {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		ctx.Response.Header.SetBytesV("X-Attempt-Id", ctx.Request.Header.Peek("X-Attempt-Id"))
	})
	s := newServer(t, to)
	call := func(path, body string) (int, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(fmt.Sprintf("http://%s/services/s%s", s.Address(), path))
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer key")
		req.Header.Set(headerTimeout, "900")
		req.SetBodyString(body)
		assert.NilError(t, fasthttp.DoTimeout(req, resp, 5*time.Second))
		return resp.StatusCode(), string(resp.Body())
	}
	for range 5 {
		status, body := call("/a", "ends")
		assert.Assert(t, status != fasthttp.StatusOK, body)
		time.Sleep(1050 * time.Millisecond)
	}
	assert.Equal(t, terminations.Load(), int32(2))
	status, body := call("/a", "ends")
	assert.Equal(t, status, fasthttp.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, `"code":"ends_targets"`) && strings.Contains(body, `"outcome":"not_run"`), body)
	for _, other := range [][2]string{{"/a", "fine"}, {"/b", "ends"}} {
		status, body := call(other[0], other[1])
		assert.Equal(t, status, fasthttp.StatusOK, body)
	}
}
