// Package errs provides errors that name the step that failed and the peer it
// involved.
//
// # Usage
//
//	if err := dial(peer); err != nil {
//		return errs.Wrap(err, "fetch configuration", peer.String())
//	}
//
// Wrapped errors keep their chain, so errors.Is and errors.As find the cause.
// eris records the stack; eris.ToString prints it, Error does not.
package errs

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is the failure of one step, local or with one peer.
type Error struct {
	// Step is the operation that failed, in a few words.
	Step string
	// Peer is the address or name of the peer; empty for local steps.
	Peer string

	err error
}

// Wrap returns err with the step that failed and its peer, or nil if err is
// nil. An empty peer means that the step was local.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, err: eris.Wrap(err, step)}
}

// New returns an error with message msg for a step that failed with peer.
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
