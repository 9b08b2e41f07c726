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

// This file repairs membership updates that gossip lost. A member retransmits a message only a few times: 62 s after a
// partition of 5 s some of 40 members still considered another one dead, and when several hundred members start, a few
// of them miss some others. Without this file they would learn of it only in their next push/pull exchange, which runs
// every minute, and at 660 members every six minutes. So each member sends a random peer a query of a few bytes: which
// of the members that are suspected or dead in its own view does the peer see alive, and what is the peer's checksum
// over all present members? It runs a full exchange with the peer only if the peer sees one of them alive, or if the
// checksums differ while its own view is stable.

const (
	presencePath      = "/members/here"
	antiEntropyRounds = 5                      // rounds of maintain from one query to the next
	presenceTimeout   = 300 * time.Millisecond // bounds one query
	// goneQueryDelay is how long a member must be gone before a peer is asked about it. Members detect the same failure
	// at different times.
	goneQueryDelay = 12 * time.Second
	// maxQueryNames bounds the names in a query. Further names are in a later query, or arrive with an exchange.
	maxQueryNames = 64
	// minExchangeBackoff and maxExchangeBackoff bound the time between two exchanges caused by differing checksums.
	// That time doubles while the checksums stay different, as an exchange at 660 members takes some 160 KB.
	minExchangeBackoff, maxExchangeBackoff = 10 * time.Second, 5 * time.Minute
)

// antiEntropy is the state kept between queries. It belongs to maintain's goroutine, and holds no more members than the
// view does. The zero value is ready for use.
type antiEntropy struct {
	goneSince    map[view.Name]view.Uptime // when each member was first seen suspected or dead; no other members
	lastChecksum uint64                    // of the own view at the last query
	backoff      time.Duration             // from the last exchange caused by differing checksums to the next
	nextExchange view.Uptime               // earliest time of the next such exchange
}

// shouldExchange reports whether to run an exchange with a peer, given this process's own checksum and the peer's,
// which is 0 if it sent none. It returns false while the own checksum changes, as gossip is then still delivering
// updates.
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

// trackGone updates goneSince from a view, and returns the members that have been suspected or dead for at least
// goneQueryDelay, maxQueryNames at most.
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
		if now-since >= goneQueryDelay && len(ask) < maxQueryNames {
			ask = append(ask, m.Name)
		}
	}
	return ask
}

// membershipChecksum returns a checksum over the names and incarnations of the present members, which does not depend
// on their order. It is never 0, which stands for a missing checksum.
func membershipChecksum(v *view.View) (sum uint64) {
	for _, m := range v.Members {
		if m.Present() {
			sum += xxhash.Sum64String(fmt.Sprintf("%s %d", m.Name, m.Incarnation))
		}
	}
	return max(1, sum)
}

// presenceQuery asks which of the named members the answering process sees alive.
type presenceQuery struct {
	Names []view.Name `json:"names"`
}

// presenceAnswer is the answer to a presenceQuery.
type presenceAnswer struct {
	Here []view.Name `json:"here,omitempty"` // the queried names that the answering process sees alive
	// Checksum is the membershipChecksum of the answering process in hexadecimal. Older versions send none.
	Checksum string `json:"sum,omitempty"`
}

const checksumBase = 16 // hexadecimal

// checksum returns the parsed Checksum; 0 if it is missing or invalid.
func (p *presenceAnswer) checksum() uint64 {
	sum, err := strconv.ParseUint(p.Checksum, checksumBase, 64)
	if err != nil {
		return 0
	}
	return sum
}

// aliveAmong returns the names whose members are alive in v.
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
	n.link.Handle(presencePath, func(_ context.Context, from view.Instance, body []byte) (any, error) {
		var query presenceQuery
		if err := json.Unmarshal(body, &query); err != nil {
			return nil, fmt.Errorf("cannot decode presence query from %q: %w", from.Name, err)
		}
		v := n.View()
		return presenceAnswer{
			Here:     aliveAmong(v, query.Names[:min(len(query.Names), maxQueryNames)]),
			Checksum: strconv.FormatUint(membershipChecksum(v), checksumBase),
		}, nil
	})
}

// runAntiEntropy sends a presence query to a random peer, and runs an exchange with the peer if it sees one of the
// queried members alive, or if shouldExchange returns true for its checksum.
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
	n.log.Info("a peer's membership differs from this process's; running a push/pull exchange with the peer", zap.String("by", string(peer)),
		zap.Int("members", len(answer.Here)))
	n.members.Exchange(peer)
}

// randomPeer returns a random alive member other than this process; false if there is none.
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
