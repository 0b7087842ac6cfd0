// Package errs makes errors that name the step and the peer at which they
// arose.
//
// # Usage
//
//	if err := dial(peer); err != nil {
//		return errs.Wrap(err, "fetch configuration", peer.String())
//	}
//
// Wrapped errors keep their chain, so errors.Is and errors.As see the cause.
// The stack is kept by eris and printed by eris.ToString, never by Error.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is a failure of one step against one peer.
type Error struct {
	// Step is the operation that failed, in a few words.
	Step string
	// Peer is the address or name of the other side; empty for local steps.
	Peer string

	err error
}

// Wrap returns err with the step and peer at which it arose, or nil if err is
// nil. An empty peer means the step was local.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, err: eris.Wrap(err, step)}
}

// New returns an error with message msg that arose at step and peer.
func New(msg, step, peer string) error {
	return &Error{Step: step, Peer: peer, err: eris.New(msg)}
}

// Error returns the step, the peer and the cause in one line.
func (e *Error) Error() string {
	cause := eris.Cause(e.err).Error()
	if e.Peer == "" {
		return e.Step + ": " + cause
	}
	return e.Step + " (" + e.Peer + "): " + cause
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Is reports whether any error in the chain of err matches target.
func Is(err, target error) bool { return errors.Is(err, target) }
