package ingress

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/claim"
	"zinccove.example/zinccove/metric"
	"zinccove.example/zinccove/request"
)

const (
	// maxKeyBytes is the maximum length of an Idempotency-Key.
	maxKeyBytes = 256
	// finishTimeout bounds the recording of a claimed call's outcome.
	finishTimeout = 5 * time.Second
	// storeRetryDelay is the delay before a retry while the store is unavailable.
	storeRetryDelay = 5 * time.Second
)

// callOnce claims the key of a call that must not be repeated, and sends the
// call only if it obtains the claim.
func (f *flow) callOnce(ctx *fasthttp.RequestCtx, text string) *Refusal {
	if len(text) > maxKeyBytes {
		r := f.giveUp(badField(headerKey, "is too long"))
		return r
	}
	m := f.server.options.Metrics
	key := claim.Key{Customer: uint32(f.submission.Customer), Text: text}
	held, earlier, err := f.claim(key)
	switch {
	case err != nil:
		m.Inc(metric.ClaimsRefused)
		r := refuse(CodeStoreDown, "the store that keeps this call from running twice is not available")
		r.RetryAfter = storeRetryDelay
		return f.giveUp(r)
	case earlier != nil:
		m.Inc(metric.ClaimsDuplicate)
		return f.replayResponse(ctx, earlier)
	}
	m.Inc(metric.ClaimsHeld)
	f.request.Claim()
	r := f.call(ctx)
	f.finishClaim(ctx, held, r)
	return r
}

func (f *flow) claim(key claim.Key) (*claim.Claim, *claim.Record, error) {
	c, cancel := context.WithDeadline(context.Background(), bootclock.ToMonotonic(f.server.options.Clock, f.deadline))
	defer cancel()
	return f.server.options.Claims.Claim(c, key, f.request.ID())
}

// replayResponse responds to a duplicate with the outcome of the first call with
// its key.
func (f *flow) replayResponse(ctx *fasthttp.RequestCtx, earlier *claim.Record) *Refusal {
	if earlier.State != claim.Answered || earlier.BodyOmitted {
		f.request.GiveUp(false)
		r := refuse(CodeDuplicate, duplicateMessage(earlier))
		if earlier.State == claim.Running {
			r.RetryAfter = defaultRetryDelay
		}
		r.Outcome, r.RequestID = request.Unknown, earlier.Request
		return r
	}
	f.request.GiveUp(false)
	ctx.SetStatusCode(earlier.Status)
	ctx.SetContentType(earlier.ContentType)
	ctx.Response.Header.Set(headerRequestID, earlier.Request)
	ctx.Response.Header.Set(headerReplayed, "true")
	ctx.SetBody(earlier.Body)
	return nil
}

func duplicateMessage(earlier *claim.Record) string {
	switch earlier.State {
	case claim.Answered:
		return "an earlier call with this key was answered; its answer was too large to keep"
	case claim.Running:
		return "an earlier call with this key is running, or its router was lost"
	default:
		return "an earlier call with this key may have run"
	}
}

// finishClaim records the outcome of the claimed call. The key of a call that did
// not run is released before the caller receives the refusal, so that the
// caller can use the key again at once; other outcomes are recorded while the
// caller receives its response.
func (f *flow) finishClaim(ctx *fasthttp.RequestCtx, held *claim.Claim, r *Refusal) {
	rec := claim.Record{State: claim.Answered, Status: ctx.Response.StatusCode(),
		ContentType: string(ctx.Response.Header.ContentType()), Body: append([]byte(nil), ctx.Response.Body()...)}
	if r != nil {
		rec = claim.Record{State: claim.Unknown}
	}
	if r != nil && r.Outcome == request.NotRun {
		f.server.finishClaim(held, claim.Record{State: claim.NotRun})
		return
	}
	f.server.accepted.Add(1)
	f.server.group.Go(func() error {
		defer f.server.accepted.Add(-1)
		f.server.finishClaim(held, rec)
		return nil
	})
}

func (s *Server) finishClaim(held *claim.Claim, rec claim.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := s.options.Claims.Finish(ctx, held, rec); err != nil {
		s.options.Metrics.Inc(metric.PlatformErrors)
	}
}
