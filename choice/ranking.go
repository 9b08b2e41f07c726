package choice

// feeTimeFactor converts fees to time. A fee of x messages of mean value multiplies the rank cost of an endpoint by
// 1+feeTimeFactor*x.
const feeTimeFactor = 20.0

// rankCost returns the cost by which the endpoints of a destination are ranked, lowest first: the time until one more
// call would be answered if calls were processed one by one. Each rejection adds a backoff, and a route fee counts as
// time. An endpoint of another zone that has no measured calls costs twice as much, which spreads a fleet over the
// endpoints of a destination.
func (s *Sender) rankCost(ep *endpoint) float64 {
	feeFactor := 1.0
	if ep.destination.kind.SeparateRoutes {
		feeFactor = 1 + feeTimeFactor*s.settings.routeFee(ep.zone)
	}
	if ep.samples == 0 && ep.zone != s.settings.Zone {
		return 2 * ep.mean * feeFactor
	}
	calls := ep.mean * float64(1+ep.inFlight)
	rejections := ep.rejectedShare * float64(s.retryBase)
	return (calls + rejections) / (1 - ep.rejectedShare) * feeFactor
}
