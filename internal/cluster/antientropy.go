package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// This file repairs what gossip has lost. A member retransmits a message a few times and then no more: after a partition
// of 5 s some of 40 members still took another for dead 62 s later, and of several hundred that start a few never learn
// of some others, until their next push/pull exchange, which happens every minute and at 660 members every six. So each
// member asks a random one, in a few bytes, whether it sees those that are gone here, and for a checksum over all present
// members; and runs a full exchange with it only where it sees one of them, or the checksums differ while nothing changes.

const (
	presencePath      = "/members/here"
	antiEntropyRounds = 5 // rounds of maintain from one query to the next
	presenceTimeout   = 300 * time.Millisecond
	// goneAfter is how long a member must be gone before others are asked about it: they detect failures at other times.
	goneAfter = 12 * time.Second
	// maxQueryNames bounds a query; further names are asked next time, or arrive with the exchange.
	maxQueryNames = 64
	// minExchangeBackoff and maxExchangeBackoff bound the time from one exchange over a checksum to the next, which
	// doubles while the checksums differ: an exchange at 660 members takes some 160 KB.
	minExchangeBackoff, maxExchangeBackoff = 10 * time.Second, 5 * time.Minute
)

// antiEntropy is the state between queries: since when members are gone, and the view's checksum at the last query. It
// belongs to maintain's goroutine, and holds no more than the view does.
type antiEntropy struct {
	goneSince    map[view.Name]view.Uptime
	lastChecksum uint64
	backoff      time.Duration // from the last exchange over a checksum to the next
	nextExchange view.Uptime
}

// shouldExchange reports whether to run an exchange with a peer of this checksum, 0 if it has none. Checksums that differ
// while this process's own one changes are updates that gossip is still delivering.
func (a *antiEntropy) shouldExchange(now view.Uptime, own, peer uint64) bool {
	settled := own == a.lastChecksum
	a.lastChecksum = own
	if peer == own {
		a.backoff = 0
	}
	if peer == 0 || peer == own || !settled || now < a.nextExchange {
		return false
	}
	a.backoff = min(max(minExchangeBackoff, 2*a.backoff), maxExchangeBackoff)
	a.nextExchange = now + a.backoff
	return true
}

// trackGone follows a view, and returns members that have been gone for goneAfter, maxQueryNames at most.
func (a *antiEntropy) trackGone(now view.Uptime, v *view.View) (ask []view.Name) {
	previous := a.goneSince
	a.goneSince = map[view.Name]view.Uptime{}
	for _, m := range v.Members {
		if m.State != view.Suspected && m.State != view.Dead {
			continue
		}
		since, known := previous[m.Name]
		if !known {
			since = now
		}
		a.goneSince[m.Name] = since
		if now-since >= goneAfter && len(ask) < maxQueryNames {
			ask = append(ask, m.Name)
		}
	}
	return ask
}

// membershipChecksum is a checksum over the present members' names and incarnations, whatever their order; never 0.
func membershipChecksum(v *view.View) (sum uint64) {
	for _, m := range v.Members {
		if m.Present() {
			sum += xxhash.Sum64String(fmt.Sprintf("%s %d", m.Name, m.Incarnation))
		}
	}
	return max(1, sum)
}

// presenceQuery asks which of these members the answering process sees alive.
type presenceQuery struct {
	Names []view.Name `json:"names"`
}

// presenceAnswer lists those of a query's names that are alive.
type presenceAnswer struct {
	Here []view.Name `json:"here,omitempty"`
	// Checksum is the membershipChecksum of the answering process, in hexadecimal; older versions send none.
	Checksum string `json:"sum,omitempty"`
}

const checksumBase = 16

// checksum returns the parsed Checksum, 0 if it is missing or invalid.
func (p *presenceAnswer) checksum() uint64 {
	sum, err := strconv.ParseUint(p.Checksum, checksumBase, 64)
	if err != nil {
		return 0
	}
	return sum
}

// aliveAmong returns those of a list that a view shows alive.
func aliveAmong(v *view.View, names []view.Name) (present []view.Name) {
	for _, name := range names {
		if m, known := v.Find(name); known && m.State == view.Alive {
			present = append(present, name)
		}
	}
	return present
}

// servePresence answers presence queries.
func (n *Node) servePresence() {
	n.link.Handle(presencePath, func(_ context.Context, from view.Life, body []byte) (any, error) {
		var query presenceQuery
		if err := json.Unmarshal(body, &query); err != nil {
			return nil, fmt.Errorf("members of %s: %w", from.Name, err)
		}
		v := n.View()
		return presenceAnswer{
			Here:     aliveAmong(v, query.Names[:min(len(query.Names), maxQueryNames)]),
			Checksum: strconv.FormatUint(membershipChecksum(v), checksumBase),
		}, nil
	})
}

// runAntiEntropy queries a random peer, and runs an exchange with it if it knows of members that are missing here.
func (n *Node) runAntiEntropy(ctx context.Context, state *antiEntropy) {
	v := n.View()
	gone := state.trackGone(n.Now(), v)
	peer, found := randomPeer(v)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	var answer presenceAnswer
	if n.link.Call(ctx, peer, presencePath, presenceQuery{gone}, &answer) != nil {
		return
	}
	differs := state.shouldExchange(n.Now(), membershipChecksum(v), answer.checksum())
	if len(answer.Here) == 0 && !differs {
		return
	}
	n.log.Info("a peer knows of members that are gone or unknown here", zap.String("by", string(peer)),
		zap.Int("members", len(answer.Here)))
	n.members.Exchange(peer)
}

// randomPeer returns a random other member that is alive.
func randomPeer(v *view.View) (name view.Name, found bool) {
	var others []view.Name
	for _, m := range v.Members {
		if m.State == view.Alive && m.Name != v.Self {
			others = append(others, m.Name)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}
