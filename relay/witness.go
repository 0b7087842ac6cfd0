package relay

import (
	"cmp"
	"io"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/link"
)

// A response with neither length nor chunks ends with its connection, and so does one whose target
// ends: the system closes the connections of a process in good order. The end is that of the body if
// the process that began the response still runs after it.
//
// A witness is a second connection to that process, opened when the response begins. A connection
// opened later may lead to another process at the same address, and a target that is leaving or full may
// accept none.

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

// witnessTimeout bounds how long a target may take to show that it runs.
const witnessTimeout = 500 * time.Millisecond

// openWitness opens a witness if the body ends with its connection.
func (f *flight) openWitness(b *body) {
	if !b.untilClose {
		return
	}
	if c, err := f.dialWitness(); err == nil {
		f.witness = c
	}
}

func (f *flight) dialWitness() (*link.Conn, error) {
	return f.server.options.Links.Get(f.run.Incarnation(), f.run.Target.Address, link.LongIdle, min(f.left(), link.MaxDialTimeout))
}

// closeWitness closes the witness, if there is one.
func (f *flight) closeWitness() {
	if f.witness != nil {
		f.witness.Close() //nolint:errcheck // no response is awaited
		f.witness = nil
	}
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
	case errs.Is(err, syscall.ECONNREFUSED), errs.Is(err, errOtherProcess), errs.Is(err, errWitnessClosed):
		return errTargetEnded
	}
	return errEndUnconfirmed
}

// confirmRuns returns an error unless the process that began the response still runs.
func (f *flight) confirmRuns() error {
	err := f.askWitness()
	f.closeWitness()
	if err == nil || !f.run.Target.Started.IsZero() {
		return err // a later incarnation of such a target may have its ID
	}
	return f.askByID()
}

// askWitness returns an error unless the target responds on the witness.
func (f *flight) askWitness() error {
	if f.witness == nil {
		return errNoWitness
	}
	if !f.witness.Idle() {
		return errWitnessClosed
	}
	s := f.table.Service(f.service)
	id, err := f.ask(f.witness, cmp.Or(s.StatusPath, s.HealthPath))
	switch {
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
	c, err := f.dialWitness()
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // the response is known
	id, err := f.ask(c, f.table.Service(f.service).HealthPath)
	if err == nil && id != f.run.Target.ID {
		return errOtherProcess
	}
	return err
}

// ask requests a page of the target and returns the ID that the response names, if it names one.
func (f *flight) ask(c *link.Conn, path string) (id string, err error) {
	if path == "" {
		return "", errNoPage
	}
	o := &f.server.options
	if err := c.SetDeadline(o.Clock.Now().Add(min(f.left(), witnessTimeout))); err != nil {
		return "", err
	}
	if _, err := c.Write(o.Codec.AppendPageRequest(nil, path, f.run.Target.Address, f.run.Target.ID)); err != nil {
		return "", err
	}
	var h fasthttp.ResponseHeader
	if err := h.Read(c.Reader); err != nil {
		return "", err
	}
	return o.Codec.DecodeResponse(&h).Instance, nil
}
