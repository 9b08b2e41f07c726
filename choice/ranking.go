package choice

// feeTimeFactor converts fees to time: a fee of x messages of mean value makes an endpoint count as slower by the factor
// 1 + feeTimeFactor*x.
const feeTimeFactor = 20.0

// rankCost is what endpoints of a destination are ranked by, the lowest first: when one more call would be done if
// calls went one by one, where each rejection costs a backoff and a fee counts as time. An endpoint of another zone
// without calls ranks behind, which spreads a fleet over a destination's endpoints.
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
