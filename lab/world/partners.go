package world

// This file makes partners and their endpoints from the seed.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/load"
)

func (w *World) makePartners() {
	spec := w.Spec
	total := 0
	for i := range spec.Partners {
		total += spec.Partners[i].Count
	}
	// Kinds are dealt over the order of size by chance, so that no kind gets all the traffic.
	order := make([]int, total)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(w.draw("deal", int64(a)), w.draw("deal", int64(b)))
	})
	weights := load.ZipfWeights(total, spec.Load.Zipf)
	sum := 0.0
	for _, v := range weights {
		sum += v
	}
	for i := range spec.Partners {
		kind := &spec.Partners[i]
		for range kind.Count {
			no := len(w.Partners)
			p := &Partner{No: PartnerNo(no), Kind: kind, KindNo: i, Share: weights[order[no]] / sum}
			p.Rate = max(kind.LeastRate, spec.Load.Rate*p.Share*w.within(kind.Headroom, "headroom", int64(no)))
			w.Partners = append(w.Partners, p)
			if kind.Limit != "none" {
				l := w.newLimit(kind, p, 1)
				if !kind.Apart {
					p.limit = l
				}
				if !kind.LimitAbove {
					p.Rate = max(p.Rate, 1.25*l.perSecond)
				}
			}
			count := int(math.Round(w.within(Pair{kind.Endpoints[0] - 0.499, kind.Endpoints[1] + 0.499}, "endpoints", int64(no))))
			for j := range max(1, count) {
				e := &Endpoint{No: EndpointNo(len(w.Endpoints)), Partner: p, Zone: (no + j) % spec.Zones,
					ID: choice.EndpointID(fmt.Sprintf("p%d-%d", no, j)), conns: map[*Conn]struct{}{}, sawFail: map[SenderNo]struct{}{}}
				key := int64(e.No)
				e.sameMS, e.crossMS = w.within(spec.Network.SameMS, "same", key), w.within(spec.Network.CrossMS, "cross", key)
				e.mean = w.within(kind.MeanMS, "mean", key) * float64(Millisecond)
				e.Rate = p.Rate / float64(count)
				e.slots = max(1, int(math.Ceil(e.Rate*e.mean/float64(Second))))
				e.Rate = float64(e.slots) * float64(Second) / e.mean
				e.queueMax = int(math.Ceil(kind.Queue * float64(e.slots)))
				if kind.Limit != "none" && kind.Apart {
					e.limit = w.newLimit(kind, p, float64(count))
				}
				e.warmFrom = -seconds(kind.ColdS)
				p.Endpoints = append(p.Endpoints, e)
				w.Endpoints = append(w.Endpoints, e)
				w.byID[e.ID] = e
			}
			p.Rate = 0
			for _, e := range p.Endpoints {
				p.Rate += e.Rate
			}
		}
	}
}
