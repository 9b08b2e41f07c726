package world

// This file creates partners and their endpoints from the seed.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

// makePartners creates all partners of a spec, in the order of kinds.
func (w *World) makePartners() {
	shares := w.drawTrafficShares()
	for i := range w.Spec.Partners {
		for range w.Spec.Partners[i].Count {
			no := len(w.Partners)
			p := &Partner{No: PartnerNo(no), Kind: &w.Spec.Partners[i], KindNo: i, Share: shares[no]}
			w.Partners = append(w.Partners, p)
			w.drawCapacity(p)
			w.makeEndpoints(p)
		}
	}
}

// drawTrafficShares draws the partners' shares of the traffic. The ranks by size are assigned to partners of all kinds by
// chance, so that no kind gets all the large shares.
func (w *World) drawTrafficShares() []float64 {
	total := 0
	for i := range w.Spec.Partners {
		total += w.Spec.Partners[i].Count
	}
	order := make([]int, total)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(w.draw("deal", int64(a)), w.draw("deal", int64(b)))
	})
	weights := load.ZipfWeights(total, w.Spec.Load.Zipf)
	sum := 0.0
	for _, v := range weights {
		sum += v
	}
	shares := make([]float64, total)
	for no := range shares {
		shares[no] = weights[order[no]] / sum
	}
	return shares
}

// limitHeadroom is the least ratio of a partner's capacity to its rate limit, unless PartnerKind.LimitAbove is set.
const limitHeadroom = 1.25

// drawCapacity draws a partner's capacity and its rate limit.
func (w *World) drawCapacity(p *Partner) {
	kind := p.Kind
	p.Rate = max(kind.LeastRate, w.Spec.Load.Rate*p.Share*w.drawWithin(kind.Headroom, "headroom", int64(p.No)))
	if kind.Limit == "none" {
		return
	}
	l := w.newLimit(kind, p, 1)
	if !kind.SeparateRoutes {
		p.limit = l
	}
	if !kind.LimitAbove {
		p.Rate = max(p.Rate, limitHeadroom*l.perSecond)
	}
}

// makeEndpoints creates a partner's endpoints and sets the partner's rate to the sum of theirs.
func (w *World) makeEndpoints(p *Partner) {
	// The range is widened by almost half a unit on both sides, since rounding would otherwise make its ends half as likely
	// as the numbers between them.
	counts := Pair{p.Kind.Endpoints[0] - 0.499, p.Kind.Endpoints[1] + 0.499}
	count := max(1, int(math.Round(w.drawWithin(counts, "endpoints", int64(p.No)))))
	rate := 0.0
	for i := range count {
		e := w.makeEndpoint(p, i, count)
		rate += e.Rate
		p.Endpoints = append(p.Endpoints, e)
		w.Endpoints = append(w.Endpoints, e)
		w.byID[e.ID] = e
	}
	p.Rate = rate
}

// makeEndpoint creates the endpoint with index i of a partner that has count endpoints. Its number of slots is the mean number
// of calls in work at an equal part of the partner's rate, rounded up. Its rate is what these slots can process.
func (w *World) makeEndpoint(p *Partner, i, count int) *Endpoint {
	kind, no := p.Kind, len(w.Endpoints)
	e := &Endpoint{
		No:             EndpointNo(no),
		ID:             choice.EndpointID(fmt.Sprintf("p%d-%d", p.No, i)),
		Partner:        p,
		Zone:           (int(p.No) + i) % w.Spec.Zones,
		sameMS:         w.drawWithin(w.Spec.Network.SameMS, "same", int64(no)),
		crossMS:        w.drawWithin(w.Spec.Network.CrossMS, "cross", int64(no)),
		meanDuration:   w.drawWithin(kind.MeanMS, "mean", int64(no)) * float64(Millisecond),
		slowStartBegan: -seconds(kind.SlowStartS),
		conns:          map[*Conn]struct{}{},
		sawFailure:     map[SenderNo]struct{}{},
	}
	e.slots = max(1, int(math.Ceil(p.Rate/float64(count)*e.meanDuration/float64(Second))))
	e.Rate = float64(e.slots) * float64(Second) / e.meanDuration
	e.queueMax = int(math.Ceil(kind.Queue * float64(e.slots)))
	if kind.Limit != "none" && kind.SeparateRoutes {
		e.limit = w.newLimit(kind, p, float64(count))
	}
	return e
}
