package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/maphash"
)

// Fingerprint identifies what a request asks for: two requests with the same fingerprint ask
// for the same content for the same customer, whatever their IDs. It is a part of a SHA-256
// hash that includes the customer, so that no customer can make a request that is taken for
// another customer's.
type Fingerprint [16]byte

// String returns the fingerprint as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Content is what a request asks for. Headers are not part of it, as IDs, deadlines and the
// event from which a stream is resumed differ between two attempts. The slices must not change
// while it is used. It must not be used concurrently.
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

// writeFields calls add with each field, preceded by its length, so that no two contents yield
// the same bytes.
func (c *Content) writeFields(add func([]byte) (int, error)) {
	var size [4]byte
	for _, field := range [][]byte{[]byte(c.Customer), c.Method, c.Host, c.URI, c.Body} {
		binary.BigEndian.PutUint32(size[:], uint32(len(field)))
		add(size[:]) //nolint:errcheck // hashes return none
		add(field)   //nolint:errcheck // hashes return none
	}
}

// Fingerprint returns the fingerprint of the content. It is computed once; 17 KB take 13 µs on
// a processor with SHA-256 instructions, 80 µs without.
func (c *Content) Fingerprint() Fingerprint {
	if c.fingerprint == nil {
		h := sha256.New()
		c.writeFields(h.Write)
		c.fingerprint = new(Fingerprint(h.Sum(nil)[:len(Fingerprint{})]))
	}
	return *c.fingerprint
}

// localHash identifies the content inside this process by a hash with a secret seed. 17 KB take
// 2 µs. Each request with a response is hashed so: fingerprints instead raised the processor
// time of a router by 3.5 % for prompts of that size.
func (c *Content) localHash(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	c.writeFields(h.Write)
	return h.Sum64()
}
