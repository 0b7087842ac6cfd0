package relay

// excess is the part of streams that this router cannot carry in time: by its lag, or by
// how long connecting takes.
func (s *Server) excess() float64 { return max(s.lag.excess(), s.connects.excess()) }

// troubled reports whether this router is behind or connects slowly to most targets,
// so that times say nothing of a target.
func (s *Server) troubled() bool { return s.lag.excess() > 0 || s.connects.troubled() }
