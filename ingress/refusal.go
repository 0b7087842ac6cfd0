package ingress

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/dispatch"
	"zinccove.example/zinccove/request"
)

// Code names the cause of a refusal or failure in responses to callers.
type Code string

// Codes of refusals and failures.
const (
	CodeWrongKey       Code = "wrong_key"
	CodeUnknownPath    Code = "unknown_path"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"
	CodeNoConfig       Code = "no_configuration"
	CodeQueueFull      Code = "queue_full"
	CodeNoTarget       Code = "no_target"
	CodeDeadline       Code = "deadline_exceeded"
	CodeCallerGone     Code = "caller_gone"
	CodeTargetRefused  Code = "target_refused"
	CodeTargetFailed   Code = "target_failed"
	CodeRejected       Code = "target_rejected"
	CodeStoreDown      Code = "store_unavailable"
	CodeDuplicate      Code = "duplicate"
	CodeEndsTargets    Code = "ends_targets"
	CodeBackingOff     Code = "targets_back_off"
)

var statuses = map[Code]int{
	CodeWrongKey:       fasthttp.StatusUnauthorized,
	CodeUnknownPath:    fasthttp.StatusNotFound,
	CodeUnknownModel:   fasthttp.StatusNotFound,
	CodeUnknownService: fasthttp.StatusNotFound,
	CodeBadRequest:     fasthttp.StatusBadRequest,
	CodeTooLarge:       fasthttp.StatusRequestEntityTooLarge,
	CodeNoConfig:       fasthttp.StatusServiceUnavailable,
	CodeQueueFull:      fasthttp.StatusTooManyRequests,
	CodeNoTarget:       fasthttp.StatusServiceUnavailable,
	CodeDeadline:       fasthttp.StatusGatewayTimeout,
	CodeCallerGone:     statusCallerGone,
	CodeTargetRefused:  fasthttp.StatusServiceUnavailable,
	CodeTargetFailed:   fasthttp.StatusBadGateway,
	CodeRejected:       fasthttp.StatusBadRequest,
	CodeStoreDown:      fasthttp.StatusServiceUnavailable,
	CodeDuplicate:      fasthttp.StatusConflict,
	CodeEndsTargets:    fasthttp.StatusUnprocessableEntity,
	CodeBackingOff:     fasthttp.StatusServiceUnavailable,
}

// statusCallerGone is never received, because the caller has disconnected.
const statusCallerGone = 499

// Refusal is the error that a caller receives.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field is the invalid part of the request, if any.
	Field string `json:"field,omitempty"`
	// Outcome states whether the request ran.
	Outcome   request.Outcome `json:"outcome"`
	RequestID string          `json:"request_id,omitempty"`
	// RetryAfter is the delay before a retry; 0 if a retry would not help.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

func refuse(c Code, message string) *Refusal {
	return &Refusal{Code: c, Message: message, Outcome: request.NotRun}
}

// defaultRetryDelay is the delay before a retry for causes without an estimate.
const defaultRetryDelay = time.Second

// queueRefusal returns the refusal for a request that was not queued.
func queueRefusal(err *dispatch.RefusedError) *Refusal {
	r := refuse(CodeNoTarget, "no target serves this now")
	switch err.Cause {
	case dispatch.QueueFull:
		r = refuse(CodeQueueFull, "too many requests of this customer wait already")
	case dispatch.BackingOff:
		r = refuse(CodeBackingOff, "all targets want no requests until after the deadline")
	}
	r.RetryAfter = err.RetryAfter
	return r
}

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

func (r *Refusal) body() []byte {
	b, err := json.Marshal(refusalBody{r})
	if err != nil {
		panic("ingress: encode refusal: " + err.Error())
	}
	return b
}

// write replaces the response by the refusal.
func (r *Refusal) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.SetStatusCode(statuses[r.Code])
	ctx.SetContentType("application/json")
	if r.RequestID != "" {
		ctx.Response.Header.Set(headerRequestID, r.RequestID)
	}
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(append(r.body(), '\n'))
}
