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

// TestCallThatEndsItsTargetIsNotSentAgain has a call that ends the target which runs it, and
// comes again: nothing bounded that, as each try is a request of its own. Other calls, and
// the same one for another path, are served.
func TestCallThatEndsItsTargetIsNotSentAgain(t *testing.T) {
	const away = 900 * time.Millisecond
	var ended atomic.Int32
	var back atomic.Int64
	to := listenHTTP(t, func(ctx *fasthttp.RequestCtx) {
		down := time.Now().UnixNano() < back.Load()
		ends := !down && string(ctx.PostBody()) == "ends" && string(ctx.Path()) == "/a"
		if ends {
			ended.Add(1)
			back.Store(time.Now().Add(away).UnixNano())
		}
		if down || ends {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		ctx.Response.Header.SetBytesV("X-Attempt-Id", ctx.Request.Header.Peek("X-Attempt-Id"))
	})
	s := newServer(t, to)
	ask := func(path, body string) (int, string) {
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
		status, body := ask("/a", "ends")
		assert.Assert(t, status != fasthttp.StatusOK, body)
		time.Sleep(1050 * time.Millisecond)
	}
	assert.Equal(t, ended.Load(), int32(2))
	status, body := ask("/a", "ends")
	assert.Equal(t, status, fasthttp.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, `"code":"ends_targets"`) && strings.Contains(body, `"outcome":"not_run"`), body)
	for _, other := range [][2]string{{"/a", "fine"}, {"/b", "ends"}} {
		status, body := ask(other[0], other[1])
		assert.Equal(t, status, fasthttp.StatusOK, body)
	}
}
