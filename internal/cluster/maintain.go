package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// maintenanceInterval is the length of one round of maintain.
const maintenanceInterval = time.Second

// maintain does the periodic work until ctx ends: it asks for the leader, runs anti-entropy every few rounds, and
// announces whether this process's folder holds a consensus group's records.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	voted := n.self.HasRecords
	var entropy antiEntropy
	antiEntropyRound := rand.IntN(antiEntropyRounds) // random, so that many that start at once do not ask in step
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.queryLeader(ctx, round)
		if round%antiEntropyRounds == antiEntropyRound {
			n.runAntiEntropy(ctx, &entropy)
		}
		if n.consensus != nil && n.consensus.HasRecords() != voted {
			voted = !voted
			if err := n.members.Update(func(m *view.Member) { m.HasRecords = voted }); err != nil {
				n.log.Warn("own metadata not announced", zap.Error(err))
			}
		}
	}
}
