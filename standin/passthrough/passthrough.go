// Package passthrough is the least that a router could do: it hands each
// request to one target and the answer back. Overheads are measured against
// it.
//
// # Usage
//
//	p := passthrough.New("127.0.0.1:9000")
//	err := fasthttp.ListenAndServe("127.0.0.1:0", p.Handle)
package passthrough

import "github.com/valyala/fasthttp"

// Passthrough serves requests.
type Passthrough struct{ client fasthttp.HostClient }

// maxConns bounds the connections to the target.
const maxConns = 4096

// New returns a pass-through to the target's address.
func New(to string) *Passthrough {
	return &Passthrough{client: fasthttp.HostClient{Addr: to, MaxConns: maxConns, MaxIdemponentCallAttempts: 1}}
}

// Handle serves one request.
func (p *Passthrough) Handle(ctx *fasthttp.RequestCtx) {
	req := &ctx.Request
	req.Header.Del(fasthttp.HeaderConnection)
	if err := p.client.Do(req, &ctx.Response); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
	}
}
