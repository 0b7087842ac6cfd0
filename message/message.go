// Package message holds the data that routers read from and write to the headers of requests
// and responses, without the names of the headers.
//
// Deployments use different names for these headers. A Codec translates them; the packages that
// make decisions use only the types of this package.
//
// # Usage
//
//	info, err := codec.DecodeRequest(&ctx.Request.Header)
//	head = codec.AppendRequest(head, &ctx.Request.Header, message.Forward{...})
//	response := codec.DecodeResponse(&header)
package message

import (
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/notice"
)

// PrefixPart is a block of a prompt that other requests may share.
type PrefixPart struct {
	ID     string
	Tokens int
}

// RequestInfo holds what the headers of a caller's request specify.
type RequestInfo struct {
	// ID differs between any two attempts of all callers.
	ID string
	// Deadline is how long the caller waits; 0 means that it sent no deadline.
	Deadline time.Duration
	// Key is the caller's API key, empty if it sent none.
	Key string
	// PrefixParts are the blocks of the prompt in order. The last one belongs to this request
	// or its session, the ones before it are shared.
	PrefixParts []PrefixPart
	// PromptTokens and MaxTokens are the size of the prompt and the largest number of tokens of
	// the response.
	PromptTokens int
	MaxTokens    int
	// HintTokens is the caller's estimate of the tokens of the response; 0 if none.
	HintTokens int
	// LastEventID is the ID of the last event that a resuming caller has received.
	LastEventID string
	// ResumedID is the ID of the attempt that brought a resuming caller its first event; empty if
	// it sent none.
	ResumedID string
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last.
func (c *RequestInfo) SharedParts() []PrefixPart {
	return c.PrefixParts[:max(len(c.PrefixParts)-1, 0)]
}

// SharedPrefixTokens returns the size of the shared parts of the prompt.
func (c *RequestInfo) SharedPrefixTokens() int {
	n := 0
	for _, p := range c.SharedParts() {
		n += p.Tokens
	}
	return n
}

// Forward holds what a router adds to a request for a target.
type Forward struct {
	// Target is the ID of the only target that may run the request.
	Target string
	// Customer is the name of the customer, empty if there is none.
	Customer string
	// Remaining is the time that the target may take.
	Remaining time.Duration
	// LastEventID is the ID of the last event that was delivered, if the request resumes a
	// stream that broke.
	LastEventID string
	// CopyFrom is the target from which this one copies the part of the prompt's cache that it
	// lacks; not valid if there is none.
	CopyFrom netip.AddrPort
	// BackupTo is the target that receives the state of the run while it grows, ContinueAt the
	// address at which that state was received if this target goes on with the run; not valid if
	// there is none. RunID is the ID of the request that began the run.
	BackupTo   netip.AddrPort
	ContinueAt netip.AddrPort
	RunID      string
	// HideKey removes the caller's API key.
	HideKey bool
}

// ResponseInfo holds what the headers of a target's response specify.
type ResponseInfo struct {
	// ID is the request that the response belongs to.
	ID string
	// Signed reports that the response has the target's signature.
	Signed bool
	// NotRun reports that the target did not run the request.
	NotRun bool
	// IdleTimeout is how long the target keeps the connection; 0 if it sent no idle timeout.
	IdleTimeout time.Duration
	// Close reports that the target closes the connection after the response.
	Close bool
	// Notice is what the target reports about itself.
	Notice notice.Notice
	// Instance is the ID of the target; empty if the response does not name it.
	Instance string
}

// Codec translates headers. All fields are required.
type Codec struct {
	// DecodeRequest decodes a caller's request; the error names the header that is invalid.
	DecodeRequest func(*fasthttp.RequestHeader) (RequestInfo, error)
	// AppendRequest appends the header lines of a request to a target, without
	// request line, framing and the end of the header.
	AppendRequest func(dst []byte, h *fasthttp.RequestHeader, f Forward) []byte
	// AppendPageRequest appends a request for a page on which the target with an ID and an address
	// reports its own state.
	AppendPageRequest func(dst []byte, path string, address netip.AddrPort, target string) []byte
	// DecodeResponse decodes a target's response.
	DecodeResponse func(*fasthttp.ResponseHeader) ResponseInfo
	// CopyResponse copies the header lines of a response that concern the caller.
	CopyResponse func(dst, src *fasthttp.ResponseHeader)
}
