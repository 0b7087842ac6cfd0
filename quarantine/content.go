package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
)

// Fingerprint names what a request asks for: two requests with the same one ask the same
// for the same customer, whatever their ids. It is a part of a SHA-256 with the customer in
// it, so that nobody can make a request that is taken for another customer's.
type Fingerprint [16]byte

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Content is what a request asks for. Headers are not part of it, as ids, deadlines and the
// event from which a stream goes on differ between two tries. The slices must not change
// while it is used. It is used by one goroutine at a time.
type Content struct {
	// Customer is empty if the request needs no API key.
	Customer string
	Method   []byte
	Host     []byte
	// URI is the path with the query.
	URI  []byte
	Body []byte

	fingerprint *Fingerprint
}

// fields calls add with each field, after its length, so that no two contents look alike.
func (c *Content) fields(add func([]byte) (int, error)) {
	var size [4]byte
	for _, field := range [][]byte{[]byte(c.Customer), c.Method, c.Host, c.URI, c.Body} {
		binary.BigEndian.PutUint32(size[:], uint32(len(field)))
		add(size[:]) //nolint:errcheck // hashes return none
		add(field)   //nolint:errcheck // hashes return none
	}
}

// Fingerprint returns the fingerprint of the content. It is computed once; 17 KB take 13 µs
// with a processor's instructions for it, 80 µs without.
func (c *Content) Fingerprint() Fingerprint {
	if c.fingerprint == nil {
		h := sha256.New()
		c.fields(h.Write)
		c.fingerprint = new(Fingerprint(h.Sum(nil)[:len(Fingerprint{})]))
	}
	return *c.fingerprint
}

// local names the content inside this process, whose seed nobody else knows. 17 KB take 2 µs:
// each request that is answered has it, and with fingerprints in its place the processor
// time of a router grew by 3.5 % on days with prompts of that size.
func (c *Content) local(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	c.fields(h.Write)
	return h.Sum64()
}
