// Package message holds what routers read from and write to the headers of
// requests and answers, apart from the headers' names.
//
// Deployments name these headers in their own way. A Codec translates; the
// packages that decide see only the types of this package.
//
// # Usage
//
//	call, err := codec.DecodeRequest(&ctx.Request.Header)
//	head = codec.AppendRequest(head, &ctx.Request.Header, message.Forward{...})
//	response := codec.DecodeResponse(&header)
package message

import (
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/notice"
)

// PrefixPart is a piece of a prompt that other requests may share.
type PrefixPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what a caller says about its request.
type RequestInfo struct {
	// ID differs between any two attempts of all callers.
	ID string
	// Deadline is how long the caller waits; 0 means it did not say.
	Deadline time.Duration
	// Key is the caller's API key, empty if it sent none.
	Key string
	// PrefixParts are the pieces of the prompt in order. The last one belongs to this
	// request or its session, the ones before it are shared.
	PrefixParts []PrefixPart
	// PromptTokens and MaxTokens are the size of the prompt and the most tokens
	// of the answer.
	PromptTokens int
	MaxTokens    int
	// HintTokens is the caller's guess of the answer's tokens; 0 if none.
	HintTokens int
	// LastEventID is the id of the last event that a resuming caller has.
	LastEventID string
}

// SharedPrefixTokens returns the size of the shared parts of the prompt.
func (c *RequestInfo) SharedPrefixTokens() int {
	n := 0
	for i := range len(c.PrefixParts) - 1 {
		n += c.PrefixParts[i].Tokens
	}
	return n
}

// Forward is what a router adds to a request for a target.
type Forward struct {
	// Target is the id of the target that alone may run the request.
	Target string
	// Customer is the name of the customer, empty if there is none.
	Customer string
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// LastEventID is the id of the last event that was delivered, if the request
	// goes on with a stream that broke.
	LastEventID string
	// CopyFrom is the target from which this one takes what it lacks of the prompt; not
	// valid if there is none.
	CopyFrom netip.AddrPort
	// HideKey removes the caller's API key.
	HideKey bool
}

// ResponseInfo is what a target says about its answer.
type ResponseInfo struct {
	// ID is the request that the answer is for.
	ID string
	// Signed answers carry the target's signature.
	Signed bool
	// NotRun means that the target says that it did not run the request.
	NotRun bool
	// IdleTimeout is how long the target keeps the connection; 0 if it did not say.
	IdleTimeout time.Duration
	// Close means that the target closes the connection after the answer.
	Close bool
	// Notice is what the target says of itself.
	Notice notice.Notice
}

// Codec translates headers. All fields are required.
type Codec struct {
	// DecodeRequest decodes a caller's request; the error names the header that is wrong.
	DecodeRequest func(*fasthttp.RequestHeader) (RequestInfo, error)
	// AppendRequest appends the header lines of a request to a target, without
	// request line, framing and the end of the header.
	AppendRequest func(dst []byte, h *fasthttp.RequestHeader, f Forward) []byte
	// DecodeResponse decodes a target's answer.
	DecodeResponse func(*fasthttp.ResponseHeader) ResponseInfo
	// CopyResponse copies the header lines of an answer that concern the caller.
	CopyResponse func(dst, src *fasthttp.ResponseHeader)
}
