package relay

import "math/rand/v2"

// sheds draws whether a stream is refused because this router cannot carry it in
// time. A stream costs many times what a refusal does, and the caller comes back to
// another router.
func (s *Server) sheds() bool {
	part := max(s.lag.excess(), s.connects.excess())
	return part > 0 && rand.Float64() < part
}

// troubled reports whether this router is behind or connects slowly to most targets,
// so that times say nothing of a target.
func (s *Server) troubled() bool { return s.lag.excess() > 0 || s.connects.troubled() }
