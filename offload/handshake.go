package offload

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
)

const (
	// challengeSize and proofSize are the sizes in bytes of the messages of a handshake.
	challengeSize = 16
	proofSize     = 16
	// handshakeTimeout bounds a handshake.
	handshakeTimeout = time.Second
)

var errWrongKey = eris.New("connection was opened with another fleet key")

// proof returns what shows that the sender has the key.
func proof(key, challenge []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("offload"))
	h.Write(challenge)
	return h.Sum(nil)[:proofSize]
}

// prove replies to the challenge of the router that accepted a connection.
func prove(c net.Conn, key []byte, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return errs.Wrap(err, "authenticate", c.RemoteAddr().String())
	}
	challenge := make([]byte, challengeSize)
	if _, err := io.ReadFull(c, challenge); err != nil {
		return errs.Wrap(err, "read challenge", c.RemoteAddr().String())
	}
	if _, err := c.Write(proof(key, challenge)); err != nil {
		return errs.Wrap(err, "reply to challenge", c.RemoteAddr().String())
	}
	return errs.Wrap(c.SetDeadline(time.Time{}), "authenticate", c.RemoteAddr().String())
}

// verify challenges the router that opened a connection.
func verify(c net.Conn, key []byte, deadline time.Time) error {
	if err := c.SetDeadline(deadline); err != nil {
		return errs.Wrap(err, "authenticate", c.RemoteAddr().String())
	}
	challenge := make([]byte, challengeSize)
	if _, err := rand.Read(challenge); err != nil {
		return errs.Wrap(err, "draw challenge", c.RemoteAddr().String())
	}
	if _, err := c.Write(challenge); err != nil {
		return errs.Wrap(err, "send challenge", c.RemoteAddr().String())
	}
	reply := make([]byte, proofSize)
	if _, err := io.ReadFull(c, reply); err != nil {
		return errs.Wrap(err, "read reply to challenge", c.RemoteAddr().String())
	}
	if !hmac.Equal(reply, proof(key, challenge)) {
		return errs.Wrap(errWrongKey, "authenticate", c.RemoteAddr().String())
	}
	return errs.Wrap(c.SetDeadline(time.Time{}), "authenticate", c.RemoteAddr().String())
}
