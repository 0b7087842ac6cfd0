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
	"zinccove.example/zinccove/link"
)

// A response with neither length nor chunks ends with its connection, and so does one whose target
// ends: the system closes the connections of a process in good order. The end is that of the body if
// the process that began the response still runs after it.
//
// A witness is a second connection to that process. It is known to lead there if it was opened before the
// request was sent, or while the connection of the response was open. Without a witness, a page that
// names the target shows the same if later incarnations of the target have other IDs.

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
	// witnessInterval is the shortest time between two attempts to open a witness for one response.
	witnessInterval = 200 * time.Millisecond
)

// witness is a connection that shows whether the process at the other end still runs.
type witness struct {
	began time.Time
	// opened is closed once conn is set or could not be opened.
	opened chan struct{}

	mu     sync.Mutex
	conn   *link.Conn
	closed bool
}

// set makes c the connection, unless the witness was closed meanwhile.
func (w *witness) set(c *link.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		c.Close() //nolint:errcheck // nothing was sent on it
		return
	}
	w.conn = c
}

// get returns the connection once it is open; nil if there is none.
func (w *witness) get() *link.Conn {
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn
}

// lost reports whether there is no open connection and none is being opened.
func (w *witness) lost() bool {
	select {
	case <-w.opened:
	default:
		return false
	}
	c := w.get()
	return c == nil || !c.Idle()
}

// take removes and returns the connection; nil if there is none that can be used.
func (w *witness) take() *link.Conn {
	<-w.opened
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conn
	if c == nil || w.closed || !c.Idle() {
		return nil
	}
	w.conn = nil
	return c
}

func (w *witness) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.conn != nil {
		w.conn.Close() //nolint:errcheck // no response is awaited
	}
}

// openWitness opens a witness for a response that ends with its connection, beside the reading of its
// body.
func (f *flight) openWitness(b *body, response *link.Conn) {
	s := f.server
	if !b.untilClose {
		f.releaseWitness()
		return
	}
	s.unframed.record(f.run.Incarnation(), s.options.Clock.Now())
	if f.witness == nil {
		f.startWitness(response)
	}
}

// refreshWitness opens another witness if the target closed the one that there is, as it does with idle
// connections.
func (f *flight) refreshWitness(response *link.Conn) {
	now := f.server.options.Clock.Now()
	if f.witness != nil && f.witness.lost() && now.Sub(f.witness.began) >= witnessInterval {
		f.startWitness(response)
	}
}

// startWitness opens a witness while the connection of the response is open. One that is opened later may
// lead to another process.
func (f *flight) startWitness(response *link.Conn) {
	w := &witness{began: f.server.options.Clock.Now(), opened: make(chan struct{})}
	f.setWitness(w)
	dial := f.witnessDial()
	f.server.group.Go(func() error {
		defer close(w.opened)
		c, err := dial()
		switch {
		case err != nil:
		case response.HalfClosed():
			c.Close() //nolint:errcheck // nothing was sent on it
		default:
			w.set(c)
		}
		return nil
	})
}

// openWitnessEarly opens a witness before the request is sent, if the response is likely to need one and
// nothing else can confirm its end: short responses have ended when they are read.
func (f *flight) openWitnessEarly() {
	s := f.server
	if f.run.Target.Started.IsZero() || !s.unframed.recent(f.run.Incarnation(), s.options.Clock.Now()) {
		return
	}
	if c, err := f.witnessDial()(); err == nil {
		w := &witness{began: s.options.Clock.Now(), opened: make(chan struct{}), conn: c}
		close(w.opened)
		f.setWitness(w)
	}
}

// witnessDial returns a function that connects to the target of the current attempt.
func (f *flight) witnessDial() func() (*link.Conn, error) {
	incarnation, addr, timeout := f.run.Incarnation(), f.run.Target.Address, min(f.left(), link.MaxDialTimeout)
	return func() (*link.Conn, error) {
		return f.server.options.Links.Get(incarnation, addr, link.LongIdle, timeout)
	}
}

// setWitness replaces the witness, which interrupt closes.
func (f *flight) setWitness(w *witness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.witness != nil {
		f.witness.close()
	}
	f.witness = w
	if w != nil && f.cause != causeNone {
		w.close()
	}
}

// closeWitness closes the witness, if there is one.
func (f *flight) closeWitness() { f.setWitness(nil) }

// releaseWitness returns the connection of a witness that is not needed to the pool.
func (f *flight) releaseWitness() {
	if f.witness == nil {
		return
	}
	if c := f.witness.take(); c != nil {
		f.server.options.Links.Put(c, 0)
	}
	f.closeWitness()
}

// confirmEnd returns an error unless a body that has ended is known to be complete.
func (f *flight) confirmEnd(b *body) error {
	if !b.untilClose {
		return nil
	}
	err := f.confirmRuns()
	f.server.logUnframedEnd(f, err)
	switch {
	case err == nil:
		return nil
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
	if err := h.Read(c.Reader); err != nil {
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
