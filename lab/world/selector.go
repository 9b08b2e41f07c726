package world

// This file resolves selectors to partners, endpoints and senders. A selector must always resolve to the same ones in runs
// with the same seed.

import (
	"cmp"
	"slices"
)

// partnersOf returns the partners that a selector matches, sorted by number. If it names a share of the traffic, partners
// are drawn by chance until they have that share. The parameter no identifies the draw.
func (w *World) partnersOf(p *Selector, no int64) (all []*Partner) {
	for _, partner := range w.Partners {
		if p.Kind != "" && partner.Kind.Name != p.Kind {
			continue
		}
		if len(p.Partners) > 0 && !slices.Contains(p.Partners, int(partner.No)) {
			continue
		}
		all = append(all, partner)
	}
	if p.Share == 0 || len(p.Partners) > 0 {
		return all
	}
	return w.drawPartners(all, p.Share, no)
}

// drawPartners draws partners by chance until they have about the given share of the traffic, and at least one. It reorders
// the slice all.
func (w *World) drawPartners(all []*Partner, share float64, no int64) []*Partner {
	slices.SortFunc(all, func(a, b *Partner) int {
		return cmp.Compare(w.draw("part", no, int64(a.No)), w.draw("part", no, int64(b.No)))
	})
	sum, chosen := 0.0, all[:0]
	for _, partner := range all {
		if len(chosen) > 0 && sum+partner.Share/2 > share {
			continue
		}
		sum += partner.Share
		chosen = append(chosen, partner)
	}
	slices.SortFunc(chosen, func(a, b *Partner) int { return cmp.Compare(a.No, b.No) })
	return chosen
}

// endpointsOf returns the endpoints that a selector matches, sorted by number. The parameter no identifies the draw.
func (w *World) endpointsOf(p *Selector, no int64) (all []*Endpoint) {
	for _, partner := range w.partnersOf(p, no) {
		for i, e := range partner.Endpoints {
			if (p.Endpoint == 0 || p.Endpoint == i+1) && (p.Zone == 0 || p.Zone == e.Zone+1) {
				all = append(all, e)
			}
		}
	}
	return all
}

// sendersOf returns the senders that a selector matches, sorted by number. If it names a share of the senders, they are
// drawn by chance. The parameter no identifies the draw.
func (w *World) sendersOf(p *Selector, no int64) (all []SenderNo) {
	for i, s := range w.senders {
		if (p.Zone == 0 || p.Zone == s.zone+1) && (len(p.Senders) == 0 || slices.Contains(p.Senders, i)) {
			all = append(all, SenderNo(i))
		}
	}
	if p.Share == 0 || len(p.Senders) > 0 {
		return all
	}
	slices.SortFunc(all, func(a, b SenderNo) int {
		return cmp.Compare(w.draw("senders", no, int64(a)), w.draw("senders", no, int64(b)))
	})
	all = all[:max(1, int(p.Share*float64(len(w.senders))+0.5))]
	slices.Sort(all)
	return all
}
