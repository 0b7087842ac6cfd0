// Package worker is a stand-in for the targets of routes: an engine that
// streams events, or an instance of a plain service. It speaks what the
// platform's targets speak and enters itself in the store.
//
// Every run is recorded by its request, so that a proof can compare what ran
// with what callers were told: GET /runs.
//
// # Usage
//
//	w := worker.New(worker.Options{Service: "model", Slots: 8, Events: 20, EventTime: 5 * time.Millisecond})
//	err := fasthttp.Serve(listener, w.Handle)
//	err = w.Enter(platformAddress, listenAddress) // and w.Drain, w.Leave
//
// # Faults
//
// The step "run" can be switched; see package fault. Refuse answers that the
// request was not run, and so does Backoff; the others break the answer after the run
// began. With the step "say" and the mode Leaving answers say that the worker leaves. A
// request with EndingBody ends the worker, and so does a prompt with an EndingPart, as some do that
// engines cannot bear.
//
// GET /arrivals lists all requests, also those that were refused.
package worker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"zinccove.example/standin/fault"
	"zinccove.example/zinccove/platform/wire"
)

// Headers of targets.
const (
	headerID       = "Request-Id"
	headerExpect   = "Expect-Instance"
	headerInstance = "Instance-Id"
	headerSeal     = "Response-Seal"
	headerNotRun   = "Not-Executed"
	headerLast     = "Last-Event-Id"
	headerCustomer = "Tenant"
	headerLeaving  = "Server-Leaving"
)

// Options configure a worker.
type Options struct {
	// ID may be that of an earlier run.
	ID         string
	Service    string
	DataCentre string
	// Version is that of its software.
	Version string
	// FailEvery has every so many runs fail; 0 has none.
	FailEvery int
	Slots     int
	// Events is the number of events of a stream; 0 makes a plain service.
	Events    int
	EventTime time.Duration
	// CallTime is the time of a plain call, or until the first event.
	CallTime time.Duration
	// UnframedEvery has every so many responses come with neither length nor chunks; 0 has none.
	UnframedEvery int
	// LengthEvery has every so many streams come with a length, unless they are unframed; 0 has none.
	LengthEvery int
	// Halves has each event of a stream sent in two parts.
	Halves bool
	// CutEvery has every so many streams end inside an event, but none that goes on from a copy; 0 has
	// none.
	CutEvery int
	// End ends the process of the worker, which cause did: the body or the part of the prompt of a
	// request. Nil lets requests that do so end as others.
	End func(cause string)
}

// EndingBody is the start of the bodies of requests that end the worker which runs them.
const EndingBody = "ends its target"

// Run is what a worker knows of one request.
type Run struct {
	Began    int
	Finished int
	// Continued counts the times that the run went on here from a copy of its state.
	Continued int
	Customer  string
	Path      string
	Body      string
}

// Arrival is a request that reached a worker.
type Arrival struct {
	ID string
	At time.Time
	// Refused tells that it asked for a backoff and did not run it.
	Refused bool
}

// Worker serves requests.
type Worker struct {
	Faults fault.Switches

	options Options
	started time.Time

	mu      sync.Mutex
	running int
	// begun counts the runs.
	begun int
	// written counts the writes of the entry.
	written uint64
	runs    map[string]*Run
	// copies are the runs of other workers whose state this one holds.
	copies map[string]bool
	// arrivals are the requests in the order in which they came.
	arrivals []Arrival
}

// New returns a worker.
func New(o Options) *Worker {
	o.Slots = cmp.Or(o.Slots, 8)
	o.Version = cmp.Or(o.Version, "v1")
	return &Worker{options: o, started: time.Now(), runs: make(map[string]*Run), copies: make(map[string]bool)}
}

// Handle serves one request.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	switch {
	case w.Faults.Handle(ctx):
	case string(ctx.Path()) == "/runs":
		w.write(ctx, func() any { return w.runs })
	case string(ctx.Path()) == "/arrivals":
		w.write(ctx, func() any { return w.arrivals })
	case string(ctx.Path()) == "/health":
		ctx.Response.Header.Set(headerInstance, w.options.ID)
	case string(ctx.Path()) == "/-/report":
		w.write(ctx, func() any { return map[string]int{"running": w.running} })
	case strings.HasPrefix(string(ctx.Path()), copiesPath):
		w.serveCopies(ctx)
	default:
		w.serve(ctx)
	}
}

// write answers with what record returns.
func (w *Worker) write(ctx *fasthttp.RequestCtx, record func() any) {
	w.mu.Lock()
	body, err := json.Marshal(record())
	w.mu.Unlock()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (w *Worker) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(headerID))
	ctx.Response.Header.Set(headerID, id)
	if expect := string(ctx.Request.Header.Peek(headerExpect)); expect != "" && expect != w.options.ID {
		ctx.Response.Header.Set(headerInstance, w.options.ID)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if f, ok := w.Faults.Take("say"); ok && f.Mode == fault.Leaving {
		ctx.Response.Header.Set(headerLeaving, "1")
	}
	if len(ctx.Request.Header.Peek(headerFrom)) > 0 {
		w.arrived(id, false)
		w.goOn(ctx, id)
		return
	}
	f, _ := w.Faults.Take("run")
	w.arrived(id, f.Mode == fault.Backoff)
	if f.Mode == fault.Backoff {
		fault.AskBackoff(ctx, f)
	}
	if f.Mode == fault.Refuse || f.Mode == fault.Backoff || !w.begin(ctx, id) {
		ctx.Response.Header.Set(headerNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if f.Mode == fault.Cross {
		ctx.Response.Header.Set(headerID, "another")
	}
	backup := string(ctx.Request.Header.Peek(headerBackup))
	if backup != "" {
		sendCopy(http.MethodPut, backup, id)
	}
	time.Sleep(w.options.CallTime + f.Delay)
	if w.options.End != nil && bytes.HasPrefix(ctx.PostBody(), []byte(EndingBody)) {
		w.options.End(string(ctx.PostBody()))
	}
	if part, ends := endingPart(ctx); ends && w.options.End != nil {
		w.endAt(ctx, id, part)
		return
	}
	if f.Mode == fault.DropAnswer {
		w.end(id, true)
		fault.Hangup(ctx)
		return
	}
	ctx.Response.Header.Set(headerSeal, Seal(id, w.options.ID))
	n := w.count()
	if w.options.FailEvery > 0 && n%w.options.FailEvery == 0 {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		w.end(id, true)
		return
	}
	unframed := w.options.UnframedEvery > 0 && n%w.options.UnframedEvery == 0
	if w.options.Events == 0 && unframed {
		w.respondUntilClose(ctx, id, "", nil)
		return
	}
	if w.options.Events == 0 {
		fmt.Fprintf(ctx, "%s %s %s", ctx.Method(), ctx.RequestURI(), id)
		w.end(id, true)
		return
	}
	if w.options.CutEvery > 0 && n%w.options.CutEvery == 0 {
		f = fault.Fault{Mode: fault.Cut, After: w.options.Events / 2}
	}
	s := w.streamFrom(ctx, id)
	s.cutBy(f, unframed)
	switch {
	case unframed:
		w.respondUntilClose(ctx, id, "", s)
	case w.options.LengthEvery > 0 && n%w.options.LengthEvery == 0:
		w.respondUntilClose(ctx, id, fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n", s.size()), s)
	default:
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(s, -1)
	}
}

// streamFrom returns the stream of a run after the last event that the request names.
func (w *Worker) streamFrom(ctx *fasthttp.RequestCtx, id string) *stream {
	s := &stream{worker: w, conn: ctx.Conn(), id: id, next: 1, backup: string(ctx.Request.Header.Peek(headerBackup))}
	if last := ctx.Request.Header.Peek(headerLast); len(last) > 0 {
		if n, err := fasthttp.ParseUint(last); err == nil {
			s.next = n + 1
		}
	}
	return s
}

// Seal is the signature of an instance for a request.
func Seal(id, instance string) string {
	return fmt.Sprintf("%s.%x", instance, xxhash.Sum64String(id+instance))
}

// Event is the text of the n-th event of a request's stream, from 1, as a version of the
// software writes it.
func Event(id, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, version)
}

func (w *Worker) arrived(id string, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{ID: id, At: time.Now(), Refused: refused})
}

func (w *Worker) begin(ctx *fasthttp.RequestCtx, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.options.Slots {
		return false
	}
	w.running++
	r := w.runs[id]
	if r == nil {
		r = &Run{Customer: string(ctx.Request.Header.Peek(headerCustomer)), Path: string(ctx.RequestURI()), Body: string(ctx.PostBody())}
		w.runs[id] = r
	}
	r.Began++
	return true
}

// count counts a run, and returns their number.
func (w *Worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun++
	return w.begun
}

func (w *Worker) end(id string, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if whole {
		w.runs[id].Finished++
	}
}

// stream makes the events of one run as they are read.
type stream struct {
	worker *Worker
	conn   net.Conn
	id     string
	next   int
	// cutAfter is the last event before the stream is cut, 0 if it is not; inside has it cut inside the
	// next one, reset has its connection reset.
	cutAfter int
	inside   bool
	reset    bool
	rest     []byte
	done     bool
	// backup is the address of the worker that holds the state of the run; empty if none does.
	backup string
}

// Read returns the next event.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		o := &s.worker.options
		if s.next > o.Events {
			s.done = true
			return 0, io.EOF
		}
		if s.cutAfter > 0 && s.next > s.cutAfter {
			return s.cut(p)
		}
		time.Sleep(o.EventTime)
		s.rest = []byte(Event(s.id, o.Version, s.next))
		s.next++
	}
	n := copy(p, s.rest)
	if s.worker.options.Halves && len(s.rest) > 1 && s.rest[0] == 'i' {
		n = copy(p, s.rest[:len(s.rest)/2])
	}
	s.rest = s.rest[n:]
	return n, nil
}

// cutBy has the stream cut as a fault says. The end of an unframed one between two events would be a
// proper one, unless its connection is reset.
func (s *stream) cutBy(f fault.Fault, unframed bool) {
	if f.Mode != fault.Cut && f.Mode != fault.Reset {
		return
	}
	s.cutAfter = max(f.After, 1)
	s.reset = f.Mode == fault.Reset
	s.inside = f.Inside || unframed && !s.reset
}

// cut returns the last bytes of a stream that is cut.
func (s *stream) cut(p []byte) (n int, err error) {
	if s.inside {
		s.inside = false
		event := Event(s.id, s.worker.options.Version, s.next)
		return copy(p, event[:len(event)/2]), nil
	}
	if c, ok := s.conn.(*net.TCPConn); ok && s.reset {
		c.SetLinger(0) //nolint:errcheck // the stream is cut anyway
	}
	return 0, io.ErrUnexpectedEOF
}

// size returns the length of the events that are left.
func (s *stream) size() int {
	n := 0
	for i := s.next; i <= s.worker.options.Events; i++ {
		n += len(Event(s.id, s.worker.options.Version, i))
	}
	return n
}

// Close ends the run.
func (s *stream) Close() error {
	s.worker.end(s.id, s.done)
	if s.done && s.backup != "" {
		sendCopy(http.MethodDelete, s.backup, s.id)
	}
	return nil
}

// entry is how a target announces itself.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMs is how much longer the target is cold.
	ColdLeftMs float64 `json:"coldLeftMs"`
	Seq        uint64  `json:"seq"`
	// Born is the Unix time of its start in milliseconds.
	Born int64 `json:"born"`
}

// Enter writes the worker's entry into the store.
func (w *Worker) Enter(store, listen netip.AddrPort) error { return w.announce(store, listen, "ready") }

// Drain announces that the worker will end.
func (w *Worker) Drain(store, listen netip.AddrPort) error {
	return w.announce(store, listen, "draining")
}

func (w *Worker) announce(store, listen netip.AddrPort, state string) error {
	w.mu.Lock()
	w.written++
	seq := w.written
	w.mu.Unlock()
	body, err := json.Marshal(entry{
		Service: w.options.Service, Address: listen.String(), Zone: w.options.DataCentre, Version: w.options.Version,
		Slots: w.options.Slots, State: state, Seq: seq, Born: w.started.UnixMilli(),
	})
	if err != nil {
		return err
	}
	return w.row(http.MethodPut, store, body)
}

// Leave removes the worker's entry.
func (w *Worker) Leave(store netip.AddrPort) error { return w.row(http.MethodDelete, store, nil) }

func (w *Worker) row(method string, store netip.AddrPort, body []byte) error {
	url := fmt.Sprintf("http://%s/rows?table=%s&key=%s", store, wire.TableTargets, w.options.ID)
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}
