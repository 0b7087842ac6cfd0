package relay

// excess returns the share of streams that this router cannot serve in time, estimated from its
// lag, from the duration of connecting and from that of replies of other routers.
func (s *Server) excess() float64 {
	return max(s.lag.excess(), s.connectHistory.excess(), excess(s.offloadDelay(), normalReply, saturatedReply))
}

// impaired reports whether this router is behind or connects slowly to most targets, so that
// durations are no evidence about a target.
func (s *Server) impaired() bool { return s.lag.excess() > 0 || s.connectHistory.impaired() }
