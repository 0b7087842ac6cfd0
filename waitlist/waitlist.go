// Package waitlist orders the requests that wait for a place at one target.
//
// The package has no I/O.
package waitlist
