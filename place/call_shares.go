package place

// callShares compares customers by their calls of plain services.
type callShares struct {
	// evenLevel is the max-min level of the calls that are served.
	evenLevel int
	// oversubscribed reports whether more calls are requested than served.
	oversubscribed bool
}

// aboveEvenFactor is the factor on the usual limit for a customer at the even level of calls.
// Customers below that level find queues shorter than their own limit allows, so their calls are
// admitted.
const aboveEvenFactor = 0.8

// compareCalls compares customers by their calls. A customer that requested no calls in the
// window does not count, even if earlier calls of it were served in the window.
func compareCalls(uses map[Hash]Usage) callShares {
	calls := demandOf(uses, func(u Usage) (asked, served int) {
		if u.CallsRequested == 0 {
			return 0, 0
		}
		return u.CallsRequested, u.CallsServed
	})
	return callShares{evenLevel: calls.level(calls.served), oversubscribed: calls.oversubscribed()}
}

// callLimitFactor returns the factor on the usual limit for a customer's calls. Above the even
// level it is multiplied by the square of the ratio of the even level to the customer's served
// calls.
//
// It handles the load at which one customer requests as many calls as all targets can serve. If
// that customer were refused at the same rate as the others, ten customers with their usual load
// would lose 28 of 100 calls; with this factor they lose none and no slot is idle (replayed over
// 16 routers). All plain services are compared together. Callers without a customer are not
// compared.
func (s *shares) callLimitFactor(customer string) float64 {
	u := s.usage[HashOf(customer)]
	if customer == "" || !s.calls.oversubscribed || u.CallsServed <= s.calls.evenLevel {
		return 1
	}
	return aboveEvenFactor * squaredRatio(s.calls.evenLevel, u.CallsServed)
}
