package relay

import (
	"sync"
	"time"

	"zinccove.example/zinccove/link"
)

// witnessInterval is the shortest time between two attempts to open a witness for one response.
const witnessInterval = 200 * time.Millisecond

// witness is a second connection to the process that sends a response, which shows whether that process
// still runs. It is known to lead there if it was opened before the request was sent, or while the
// connection of the response was open.
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
