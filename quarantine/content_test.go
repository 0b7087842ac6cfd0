package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := func() *Content {
		return &Content{Customer: "c", Method: []byte("POST"), Host: []byte("h"), URI: []byte("/a?x=1"), Body: []byte("body")}
	}
	assert.Equal(t, base().Fingerprint(), base().Fingerprint())
	changes := map[string]func(*Content){
		"customer": func(c *Content) { c.Customer = "d" },
		"method":   func(c *Content) { c.Method = []byte("PUT") },
		"host":     func(c *Content) { c.Host = []byte("i") },
		"query":    func(c *Content) { c.URI = []byte("/a?x=2") },
		"body":     func(c *Content) { c.Body = []byte("Body") },
		"border":   func(c *Content) { c.URI, c.Body = []byte("/a?x=1b"), []byte("ody") },
		"no body":  func(c *Content) { c.Body = nil },
	}
	seen := map[Fingerprint]string{base().Fingerprint(): "base"}
	for name, change := range changes {
		c := base()
		change(c)
		f := c.Fingerprint()
		assert.Equal(t, seen[f], "", name)
		seen[f] = name
	}
}

// BenchmarkFingerprint: 13 µs for a body of 17 KB, the size of long prompts, on a processor
// with instructions for SHA-256.
func BenchmarkFingerprint(b *testing.B) {
	c := &Content{Customer: "customer", Method: []byte("POST"), Host: []byte("host.example"), URI: []byte("/drafts/1/2"), Body: make([]byte, 17_000)}
	for b.Loop() {
		c.fingerprint = nil
		c.Fingerprint()
	}
}
