package relay

import (
	"cmp"
	"io"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/bootclock"
	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/head"
	"zinccove.example/zinccove/link"
)

// A response with neither length nor chunks ends with its connection, and so does one whose target
// ends: the system closes the connections of a process in good order. The end is that of the body if
// the process that began the response still runs after it. A witness shows that. Without one, a page
// that names the target does if later incarnations of the target have other IDs. A request that was
// not sent completely shows that its connection was reset.

var (
	// errTargetEnded means that a body that ended with its connection may lack bytes because its target
	// has ended, errEndUnconfirmed because the target did not show that it runs.
	errTargetEnded    = eris.Wrap(io.ErrUnexpectedEOF, "target of a response without framing has ended")
	errEndUnconfirmed = eris.New("target of a response without framing did not show that it runs")

	errNoWitness     = eris.New("no connection to the process that began the response")
	errWitnessClosed = eris.New("target closed the connection that shows whether it runs")
	errOtherProcess  = eris.New("another process responds at the address of the target")
	errNoPage        = eris.New("target has no page that shows whether it runs")
)

const (
	// witnessTimeout is how long a response is awaited on a witness. The system closes all connections of
	// a process that ends within some milliseconds, so that one that is open after it shows as much.
	witnessTimeout = 200 * time.Millisecond
	// pageTimeout is how long a target may take to name itself on a new connection.
	pageTimeout = 500 * time.Millisecond
)

// confirmEnd returns an error unless a body that has ended is known to be complete.
func (f *flight) confirmEnd(b *body, sent *sending) error {
	if !b.untilClose {
		return nil
	}
	err := sent.await(f.server.options.Clock)
	if err == nil {
		err = f.confirmRuns()
	} else {
		f.closeWitness()
	}
	f.server.logUnframedEnd(f, err)
	switch {
	case err == nil:
		return nil
	case errs.Is(err, errSendFailed):
		return err
	case errs.Is(err, syscall.ECONNREFUSED), errs.Is(err, errOtherProcess):
		return errTargetEnded
	}
	return errEndUnconfirmed
}

// confirmRuns returns an error unless the process that began the response still runs.
func (f *flight) confirmRuns() error {
	err := f.askWitness()
	f.closeWitness()
	if err == nil || f.interrupted() != causeNone {
		return err
	}
	if perr := f.askByID(); perr != nil || f.run.Target.Started.IsZero() {
		return perr
	}
	return err // a later incarnation of such a target may have its ID
}

// askWitness returns an error unless the target shows on the witness that it runs.
func (f *flight) askWitness() error {
	if f.witness == nil {
		return errNoWitness
	}
	c := f.witness.get()
	switch {
	case c == nil:
		return errNoWitness
	case !c.Idle():
		return errWitnessClosed
	}
	s := f.table.Service(f.service)
	id, err := f.ask(c, cmp.Or(s.StatusPath, s.HealthPath), witnessTimeout)
	switch {
	case errs.Is(err, fasthttp.ErrTimeout) && c.Idle() && c.Acknowledged():
		return nil
	case errs.Is(err, io.EOF), errs.Is(err, syscall.ECONNRESET), errs.Is(err, syscall.EPIPE):
		return errWitnessClosed
	case err != nil:
		return err
	case id != "" && id != f.run.Target.ID:
		return errOtherProcess
	}
	return nil
}

// askByID returns an error unless a target with the ID of this one responds at its address.
func (f *flight) askByID() error {
	c, err := f.witnessDial()()
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // the response is known
	id, err := f.ask(c, f.table.Service(f.service).HealthPath, pageTimeout)
	if err == nil && id != f.run.Target.ID {
		return errOtherProcess
	}
	return err
}

// ask requests a page of the target and returns the ID that the response names, if it names one.
func (f *flight) ask(c *link.Conn, path string, timeout time.Duration) (id string, err error) {
	if path == "" {
		return "", errNoPage
	}
	o := &f.server.options
	until := o.Clock.Now().Add(min(f.left(), timeout))
	if err := c.SetDeadline(bootclock.ToMonotonic(o.Clock, until)); err != nil {
		return "", err
	}
	if _, err := c.Write(o.Codec.AppendPageRequest(nil, path, f.run.Target.Address, f.run.Target.ID)); err != nil {
		return "", err
	}
	var h fasthttp.ResponseHeader
	if err := head.Read(c.Reader, &h); err != nil {
		return "", err
	}
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return "", errOtherProcess
	}
	return o.Codec.DecodeResponse(&h).Instance, nil
}

// unframedTTL is how long a target is remembered to send responses without framing.
const unframedTTL = 10 * time.Second

// unframedTargets holds the incarnations of targets that sent responses without framing lately.
type unframedTargets struct {
	mu     sync.Mutex
	latest map[string]time.Time
}

// record records a response without framing, and forgets those that are too old.
func (u *unframedTargets) record(incarnation string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latest == nil {
		u.latest = make(map[string]time.Time)
	}
	if _, known := u.latest[incarnation]; !known {
		maps.DeleteFunc(u.latest, func(_ string, at time.Time) bool { return now.Sub(at) >= unframedTTL })
	}
	u.latest[incarnation] = now
}

// recent reports whether an incarnation sent a response without framing lately.
func (u *unframedTargets) recent(incarnation string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, known := u.latest[incarnation]
	return known && now.Sub(at) < unframedTTL
}
